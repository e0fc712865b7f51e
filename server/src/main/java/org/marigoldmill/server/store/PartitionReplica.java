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
 * A replica of one partition of submissions, through which all changes to it are made.
 *
 * <p>Uses optimistic concurrency control: pending changes are appended in batches, on condition
 * that the partition still ends where this replica does. If another process has appended first, the
 * changes are recomputed from the newer state. An append whose outcome is unknown is resolved the
 * same way, so a change takes effect at most once.
 *
 * <p>The replica rests until it is to be followed. While it rests, its state is that of the last
 * read, and {@link PartitionFollower#catchUp()} continues from there.
 */
public final class PartitionReplica {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_PENDING_CHANGES = 4_096;
  private static final int MAX_BATCH_CHANGES = 256;

  /** Age of the state above which a read precedes an append, since the append would likely fail. */
  private static final long MAX_APPEND_AGE_MS = 400;

  /** Time that a partition is followed after a failed read, to notice when the store answers. */
  private static final long WATCH_AFTER_FAILURE_MS = 1_000;

  /** Computes the records to append; none if the state already contains the change. */
  @FunctionalInterface
  public interface Change extends Function<PartitionState, List<KeyedRecord>> {}

  /** Outcome of a change. */
  public enum Result {
    /** The change is stored durably. */
    HOLDS,
    /** The change is not stored and never will be. */
    NOT_DONE,
    /** Whether the change is stored is unknown; it may still be stored within seconds. */
    UNKNOWN
  }

  private static final class PendingChange {
    private final Change change;
    private final long deadlineMs;
    private final CompletableFuture<Result> result = new CompletableFuture<>();
    private long appendEndOffset = Long.MAX_VALUE;
    private boolean maybeStored;

    private PendingChange(Change change, long deadlineMs) {
      this.change = change;
      this.deadlineMs = deadlineMs;
    }
  }

  private final LogStore store;
  private final Topic topic;
  private final int partition;
  private final int maxAppendBytes;
  private final long retryMs;
  private final PartitionState state = new PartitionState();
  private final PartitionFollower follower;
  private final FollowDemand demand;
  private final long waitMs;
  private final Executor executor;
  private final Clock clock;
  private final Runnable onChange;
  private final BlockingQueue<PendingChange> pending =
      new ArrayBlockingQueue<>(MAX_PENDING_CHANGES);
  private final AtomicBoolean drainScheduled = new AtomicBoolean();

  /**
   * Creates a replica.
   *
   * @param maxAppendBytes maximum size of an append, in bytes
   * @param waitMs maximum time that a read waits for records, in milliseconds
   * @param retryMs pause after the store has refused an append or not answered, in milliseconds
   * @param executor runs the appends; at most one task at a time is submitted for this partition
   * @param onChange called after each change of the state
   */
  public PartitionReplica(
      LogStore store,
      Topic topic,
      int partition,
      int maxAppendBytes,
      long waitMs,
      long retryMs,
      Executor executor,
      Clock clock,
      Runnable onChange) {
    this.store = store;
    this.topic = topic;
    this.partition = partition;
    this.maxAppendBytes = maxAppendBytes;
    this.retryMs = retryMs;
    this.executor = executor;
    this.clock = clock;
    this.onChange = onChange;
    this.waitMs = waitMs;
    this.demand = new FollowDemand(clock);
    this.follower =
        new PartitionFollower(store, topic, partition, waitMs, 0, new StateSink(), clock);
  }

  /** Returns the state up to the last record that has been read. */
  public PartitionState state() {
    return state;
  }

  /** Returns the follower that keeps the state up to date. */
  public PartitionFollower follower() {
    return follower;
  }

  /** Follows the partition until the next call, or lets it rest. */
  public void setFollowed(boolean followed) {
    demand.setContinuous(followed);
  }

  /** Follows the partition at least until a time of the clock. */
  public void followUntil(long timeMs) {
    demand.extendTo(timeMs);
  }

  /** Returns whether the partition is to be followed now. */
  public boolean followed() {
    return demand.remainingMs() > 0;
  }

  /** Returns whether the partition is followed and has been read to its end since that began. */
  public boolean current() {
    return followed() && follower.upToDateSince(demand.sinceMs());
  }

  /** Returns whether the store is known not to answer for this partition. */
  public boolean unreachable() {
    return followed() && follower.unreachableMs() > 0;
  }

  /** Waits until the partition is to be followed, then reads once; meant to be called in a loop. */
  public void pollOnce() throws InterruptedException {
    if (!followed()) {
      follower.stopWatching();
      demand.await();
    }
    // A read that waits for records would tell only at its end that none is missing.
    follower.pollOnce(current() ? Math.min(waitMs, demand.remainingMs()) : 0);
  }

  /**
   * Commits a change to the partition.
   *
   * @param change computes the records to append; may be called several times
   * @param timeoutMs time after which no further append is attempted, in milliseconds
   * @return a future of the outcome; {@code NOT_DONE} if too many changes are pending
   */
  public CompletableFuture<Result> commit(Change change, long timeoutMs) {
    PendingChange entry = new PendingChange(change, clock.now() + timeoutMs);
    if (!pending.offer(entry)) {
      return CompletableFuture.completedFuture(Result.NOT_DONE);
    }
    scheduleDrain();
    return entry.result;
  }

  private void scheduleDrain() {
    if (!pending.isEmpty() && drainScheduled.compareAndSet(false, true)) {
      executor.execute(this::drain);
    }
  }

  private void drain() {
    try {
      while (!pending.isEmpty()) {
        List<PendingChange> batch = new ArrayList<>();
        pending.drainTo(batch, MAX_BATCH_CHANGES);
        commitBatch(batch);
      }
    } finally {
      drainScheduled.set(false);
      scheduleDrain();
    }
  }

  private void commitBatch(List<PendingChange> batch) {
    List<PendingChange> remaining = new ArrayList<>(batch);
    while (!remaining.isEmpty()) {
      if (outdated() && !follower.catchUp()) {
        followUntil(clock.now() + WATCH_AFTER_FAILURE_MS);
        Pause.millis(retryMs);
      } else {
        tryAppend(remaining);
      }
      expireOverdue(remaining);
    }
  }

  private boolean outdated() {
    return !follower.ready() || (!current() && follower.ageMs() > MAX_APPEND_AGE_MS);
  }

  /** Appends the records of the remaining changes, and removes those that are then stored. */
  private void tryAppend(List<PendingChange> remaining) {
    final long endOffset;
    List<KeyedRecord> records = new ArrayList<>();
    List<PendingChange> sent = new ArrayList<>();
    synchronized (state) {
      endOffset = state.nextOffset();
      long bytes = 0;
      for (PendingChange entry : List.copyOf(remaining)) {
        List<KeyedRecord> missing = entry.change.apply(state);
        if (missing.isEmpty()) {
          finish(remaining, entry, Result.HOLDS);
          continue;
        }
        // Once this replica has read past the offsets of an unanswered append, that append
        // is either part of the state or can no longer succeed.
        entry.maybeStored &= endOffset < entry.appendEndOffset;
        bytes += missing.stream().mapToLong(PartitionReplica::encodedSizeBytes).sum();
        if (!sent.isEmpty() && bytes > maxAppendBytes) {
          break;
        }
        if (haveDistinctKeys(records, missing)) {
          records.addAll(missing);
          sent.add(entry);
        }
      }
    }
    if (sent.isEmpty()) {
      return;
    }
    LogStore.AppendResult result =
        store.append(topic, partition, OptionalLong.of(endOffset), records);
    switch (result.outcome()) {
      case STORED -> {
        follower.applyAppended(result.offset(), toStoredRecords(result.offset(), records));
        sent.forEach(e -> finish(remaining, e, Result.HOLDS));
      }
      case MOVED -> follower.catchUp();
      case REFUSED -> Pause.millis(retryMs);
      default -> {
        sent.forEach(e -> e.maybeStored = true);
        sent.forEach(e -> e.appendEndOffset = endOffset + records.size());
        logger.atWarning().log(
            "append unanswered topic=%s partition=%d at=%d changes=%d",
            topic.name(), partition, endOffset, sent.size());
        if (!follower.catchUp()) {
          Pause.millis(retryMs);
        }
      }
    }
  }

  private void expireOverdue(List<PendingChange> remaining) {
    long now = clock.now();
    for (PendingChange entry : List.copyOf(remaining)) {
      if (now >= entry.deadlineMs) {
        finish(remaining, entry, entry.maybeStored ? Result.UNKNOWN : Result.NOT_DONE);
      }
    }
  }

  private static void finish(List<PendingChange> remaining, PendingChange entry, Result result) {
    remaining.remove(entry);
    entry.result.complete(result);
  }

  private static boolean haveDistinctKeys(List<KeyedRecord> records, List<KeyedRecord> more) {
    return more.stream().noneMatch(m -> records.stream().anyMatch(r -> r.key().equals(m.key())));
  }

  private static long encodedSizeBytes(KeyedRecord keyed) {
    return keyed.key().length() + keyed.value().map(v -> v.length).orElse(0) + 8L;
  }

  private static List<StoredRecord> toStoredRecords(long offset, List<KeyedRecord> records) {
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
    public void load(Runnable replay) {
      synchronized (state) {
        PartitionFollower.Sink.super.load(replay);
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
      onChange.run();
    }
  }
}
