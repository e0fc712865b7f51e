package org.marigoldmill.server.store;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.core.submission.PartitionState;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Pause;

/**
 * A replica of one partition of submissions, and the only way to change it.
 *
 * <p>Changes that wait are appended together, on the condition that the partition still ends where
 * this replica does. When another process was faster, they are computed again from the newer state.
 * An append without an answer is settled the same way, so its effect happens at most once.
 */
public final class PartitionReplica {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int WAITING_CHANGES = 4_096;
  private static final int BATCH = 256;

  /** Computes records from the state; none when the change already holds. */
  @FunctionalInterface
  public interface Change extends Function<PartitionState, List<KeyedRecord>> {}

  /** What became of a change. */
  public enum Result {
    /** It holds and lasts. */
    HOLDS,
    /** It does not hold and never will. */
    NOT_DONE,
    /** It may hold, or come to hold within seconds. */
    UNKNOWN
  }

  private static final class Waiting {
    private final Change change;
    private final long deadline;
    private final CompletableFuture<Result> result = new CompletableFuture<>();
    private long sentUntil = Long.MAX_VALUE;
    private boolean maybeStored;

    private Waiting(Change change, long deadline) {
      this.change = change;
      this.deadline = deadline;
    }
  }

  private final LogStore store;
  private final Topic topic;
  private final int partition;
  private final int callBytes;
  private final long retryMs;
  private final PartitionState state = new PartitionState();
  private final PartitionFollower follower;
  private final Executor executor;
  private final Clock clock;
  private final Runnable changed;
  private final BlockingQueue<Waiting> waiting = new ArrayBlockingQueue<>(WAITING_CHANGES);
  private final AtomicBoolean draining = new AtomicBoolean();

  /**
   * Creates a replica.
   *
   * @param callBytes largest append
   * @param waitMs longest wait of one read, in milliseconds
   * @param retryMs pause after the store has taken nothing, in milliseconds
   * @param executor runs appends, one at a time for this partition
   * @param changed runs after each change of the state
   */
  public PartitionReplica(
      LogStore store,
      Topic topic,
      int partition,
      int callBytes,
      long waitMs,
      long retryMs,
      Executor executor,
      Clock clock,
      Runnable changed) {
    this.store = store;
    this.topic = topic;
    this.partition = partition;
    this.callBytes = callBytes;
    this.retryMs = retryMs;
    this.executor = executor;
    this.clock = clock;
    this.changed = changed;
    this.follower =
        new PartitionFollower(store, topic, partition, waitMs, 0, new StateSink(), clock);
  }

  /** Returns the state as far as it has been read. */
  public PartitionState state() {
    return state;
  }

  /** Returns what keeps the state up to date. */
  public PartitionFollower follower() {
    return follower;
  }

  /**
   * Makes a change that lasts.
   *
   * @param change computes the records
   * @param timeoutMs time after which the change is given up, in milliseconds
   * @return completes with what became of it
   */
  public CompletableFuture<Result> commit(Change change, long timeoutMs) {
    Waiting entry = new Waiting(change, clock.now() + timeoutMs);
    if (!waiting.offer(entry)) {
      return CompletableFuture.completedFuture(Result.NOT_DONE);
    }
    schedule();
    return entry.result;
  }

  private void schedule() {
    if (!waiting.isEmpty() && draining.compareAndSet(false, true)) {
      executor.execute(this::drain);
    }
  }

  private void drain() {
    try {
      while (!waiting.isEmpty()) {
        List<Waiting> batch = new ArrayList<>();
        waiting.drainTo(batch, BATCH);
        settle(batch);
      }
    } finally {
      draining.set(false);
      schedule();
    }
  }

  private void settle(List<Waiting> batch) {
    List<Waiting> open = new ArrayList<>(batch);
    while (!open.isEmpty()) {
      if (!follower.ready() && !follower.catchUp()) {
        Pause.millis(retryMs);
      } else {
        attempt(open);
      }
      expire(open);
    }
  }

  /** Appends what the open changes lack; those that hold afterwards leave the list. */
  private void attempt(List<Waiting> open) {
    final long end;
    List<KeyedRecord> records = new ArrayList<>();
    List<Waiting> sent = new ArrayList<>();
    synchronized (state) {
      end = state.nextOffset();
      long bytes = 0;
      for (Waiting entry : List.copyOf(open)) {
        List<KeyedRecord> lacking = entry.change.apply(state);
        if (lacking.isEmpty()) {
          finish(open, entry, Result.HOLDS);
          continue;
        }
        // Read past its offsets, an unanswered append has taken effect here or never will.
        entry.maybeStored &= end < entry.sentUntil;
        bytes += lacking.stream().mapToLong(PartitionReplica::size).sum();
        if (!sent.isEmpty() && bytes > callBytes) {
          break;
        }
        if (disjoint(records, lacking)) {
          records.addAll(lacking);
          sent.add(entry);
        }
      }
    }
    if (sent.isEmpty()) {
      return;
    }
    LogStore.AppendResult appended = store.append(topic, partition, OptionalLong.of(end), records);
    switch (appended.outcome()) {
      case STORED -> {
        follower.applyAppended(appended.offset(), stored(appended.offset(), records));
        sent.forEach(e -> finish(open, e, Result.HOLDS));
      }
      case MOVED -> follower.catchUp();
      case REFUSED -> Pause.millis(retryMs);
      default -> {
        sent.forEach(e -> e.maybeStored = true);
        sent.forEach(e -> e.sentUntil = end + records.size());
        logger.atWarning().log(
            "append unanswered topic=%s partition=%d at=%d changes=%d",
            topic.name(), partition, end, sent.size());
        if (!follower.catchUp()) {
          Pause.millis(retryMs);
        }
      }
    }
  }

  private void expire(List<Waiting> open) {
    long now = clock.now();
    for (Waiting entry : List.copyOf(open)) {
      if (now >= entry.deadline) {
        finish(open, entry, entry.maybeStored ? Result.UNKNOWN : Result.NOT_DONE);
      }
    }
  }

  private static void finish(List<Waiting> open, Waiting entry, Result result) {
    open.remove(entry);
    entry.result.complete(result);
  }

  private static boolean disjoint(List<KeyedRecord> records, List<KeyedRecord> more) {
    return more.stream().noneMatch(m -> records.stream().anyMatch(r -> r.key().equals(m.key())));
  }

  private static long size(KeyedRecord keyed) {
    return keyed.key().length() + keyed.value().map(v -> v.length).orElse(0) + 8L;
  }

  private static List<StoredRecord> stored(long offset, List<KeyedRecord> records) {
    List<StoredRecord> stored = new ArrayList<>();
    for (KeyedRecord keyed : records) {
      stored.add(new StoredRecord(offset + stored.size(), keyed.key(), keyed.value()));
    }
    return stored;
  }

  private final class StateSink implements PartitionFollower.Sink {
    @Override
    public void reset() {
      state.reset();
    }

    @Override
    public void load(Runnable applyAll) {
      synchronized (state) {
        PartitionFollower.Sink.super.load(applyAll);
      }
    }

    @Override
    public void apply(StoredRecord stored) {
      Optional<byte[]> value = stored.value();
      state.apply(stored.offset(), stored.key(), value);
    }

    @Override
    public void advanceTo(long offset) {
      state.advance(offset);
      changed.run();
    }
  }
}
