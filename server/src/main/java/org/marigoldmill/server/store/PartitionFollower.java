package org.marigoldmill.server.store;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import org.marigoldmill.server.Clock;

/**
 * Keeps a sink up to date with one partition.
 *
 * <p>Records reach the sink once each and in order, but for those of a fresh load, which come by
 * key. Offsets never go back.
 */
public final class PartitionFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETRY_MS = 100;
  private static final long NEVER = Long.MIN_VALUE;

  /** Takes in what a partition holds. */
  public interface Sink {
    /** Forgets everything; all that still holds is applied again. */
    void reset();

    /** Applies a record. */
    void apply(StoredRecord stored);

    /** Notes that everything before an offset has been applied. */
    default void advanceTo(long offset) {}

    /** Replaces everything by the newest record of each key. */
    default void load(Runnable applyAll) {
      reset();
      applyAll.run();
    }
  }

  private final LogStore store;
  private final Topic topic;
  private final int partition;
  private final long waitMs;
  private final long pauseMs;
  private final Sink sink;
  private final Clock clock;
  private long next;
  private boolean loaded;
  private volatile long unreachableSince = NEVER;
  private volatile long currentAt = NEVER;
  private volatile boolean ready;

  /**
   * Creates a follower.
   *
   * @param waitMs longest wait of one read, in milliseconds
   * @param pauseMs pause after a read that brought records, in milliseconds
   */
  public PartitionFollower(
      LogStore store,
      Topic topic,
      int partition,
      long waitMs,
      long pauseMs,
      Sink sink,
      Clock clock) {
    this.store = store;
    this.topic = topic;
    this.partition = partition;
    this.waitMs = waitMs;
    this.pauseMs = pauseMs;
    this.sink = sink;
    this.clock = clock;
  }

  /** Reads once and applies what came; one round of a duty. */
  public void runRound() throws InterruptedException {
    try {
      boolean moved = follow(waitMs);
      reachable();
      if (moved && pauseMs > 0) {
        Thread.sleep(pauseMs);
      }
    } catch (StoreUnavailableException e) {
      lost(e);
      Thread.sleep(RETRY_MS);
    }
  }

  /**
   * Applies everything that the partition held when this was called.
   *
   * @return whether that could be established
   */
  public boolean catchUp() {
    try {
      for (int i = 0; i < 8; i++) {
        long asked = clock.now();
        follow(0);
        if (currentAt >= asked) {
          reachable();
          return true;
        }
      }
      return false;
    } catch (StoreUnavailableException e) {
      lost(e);
      return false;
    }
  }

  /** Applies records that this process has just appended at an offset. */
  public synchronized void applyAppended(long offset, List<StoredRecord> records) {
    if (loaded && offset == next) {
      apply(records, offset + records.size());
    }
  }

  /** Returns whether the partition has been read to its end once. */
  public boolean ready() {
    return ready;
  }

  /** Returns the milliseconds since the partition was last known to be read to its end. */
  public long ageMs() {
    return currentAt == NEVER ? Long.MAX_VALUE : clock.now() - currentAt;
  }

  /** Returns the milliseconds for which the store has not answered, or 0 when it does. */
  public long unreachableMs() {
    long since = unreachableSince;
    return since == NEVER ? 0 : Math.max(1, clock.now() - since);
  }

  /** Reads on; returns whether records came. */
  private boolean follow(long wait) {
    long asked = clock.now();
    if (!isLoaded()) {
      load();
    }
    long from = from();
    LogStore.ReadResult read = store.read(topic, partition, from, ready ? wait : 0);
    if (read.trimmed()) {
      trimmed(from, read.firstOffset());
      return true;
    }
    synchronized (this) {
      List<StoredRecord> fresh = read.records().stream().filter(r -> r.offset() >= next).toList();
      boolean gap = !fresh.isEmpty() && fresh.get(0).offset() > next;
      if (!loaded || gap) {
        return true;
      }
      long last = from + read.records().size();
      apply(fresh, Math.max(next, last));
      if (next >= read.endOffset()) {
        currentAt = Math.max(currentAt, asked);
        ready = true;
      }
      return !read.records().isEmpty();
    }
  }

  private synchronized boolean isLoaded() {
    return loaded;
  }

  private synchronized long from() {
    return next;
  }

  private void load() {
    LogStore.LatestRecords newest =
        topic.keyed()
            ? store.readLatest(topic, partition)
            : new LogStore.LatestRecords(0, List.of());
    synchronized (this) {
      if (loaded) {
        return;
      }
      next = newest.nextOffset();
      sink.load(
          () -> {
            newest.records().forEach(this::applyOne);
            sink.advanceTo(newest.nextOffset());
          });
      loaded = true;
    }
    logger.atInfo().log(
        "partition loaded topic=%s partition=%d keys=%d next=%d",
        topic.name(), partition, newest.records().size(), newest.nextOffset());
  }

  private synchronized void trimmed(long from, long first) {
    logger.atInfo().log(
        "partition trimmed topic=%s partition=%d from=%d first=%d",
        topic.name(), partition, from, first);
    if (next != from) {
      return;
    }
    if (topic.keyed()) {
      loaded = false;
    } else {
      sink.reset();
      next = Math.max(next, first);
      sink.advanceTo(next);
    }
  }

  private void apply(List<StoredRecord> records, long end) {
    records.forEach(this::applyOne);
    next = end;
    sink.advanceTo(end);
  }

  private void applyOne(StoredRecord stored) {
    try {
      sink.apply(stored);
    } catch (RuntimeException e) {
      logger.atWarning().log(
          "record passed over topic=%s partition=%d offset=%d key=%s cause=%s",
          topic.name(), partition, stored.offset(), stored.key(), e.getMessage());
    }
  }

  private synchronized void lost(StoreUnavailableException e) {
    if (unreachableSince == NEVER) {
      unreachableSince = clock.now();
      logger.atWarning().log(
          "dependency lost name=store topic=%s partition=%d age_ms=%d cause=%s",
          topic.name(), partition, ageMs(), e.getMessage());
    }
  }

  private synchronized void reachable() {
    if (unreachableSince != NEVER) {
      unreachableSince = NEVER;
      logger.atInfo().log(
          "dependency regained name=store topic=%s partition=%d next=%d",
          topic.name(), partition, next);
    }
  }
}
