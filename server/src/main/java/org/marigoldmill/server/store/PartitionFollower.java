package org.marigoldmill.server.store;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.function.LongSupplier;
import org.marigoldmill.server.Clock;

/**
 * Keeps a sink up to date with one partition.
 *
 * <p>The sink receives each record once and in offset order, except during a load, which delivers
 * the latest record of each key. The read position never moves back.
 */
public final class PartitionFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long STORE_RETRY_MS = 100;
  private static final long LATE_ANSWER_MS = 500;
  private static final int MAX_CATCH_UP_READS = 8;
  private static final long NEVER = Long.MIN_VALUE;

  /** Receiver of the records of a partition. */
  public interface Sink {
    /** Clears all state before records are applied again. */
    void reset();

    /** Applies a record. */
    void apply(StoredRecord stored);

    /** Called when all records before an offset have been applied. */
    default void advanceTo(long offset) {}

    /**
     * Replaces all state by the latest record of each key.
     *
     * @param replay applies these records to this sink; a callback, so that an implementation can
     *     hold a lock meanwhile or compare the state before and after
     */
    default void load(Runnable replay) {
      reset();
      replay.run();
    }
  }

  private final LogStore store;
  private final Topic topic;
  private final int partition;
  private final long waitMs;
  private final LongSupplier pauseMs;
  private final Sink sink;
  private final Clock clock;
  private final Object loadLock = new Object();
  private final Object catchUpLock = new Object();
  private long nextOffset;
  private boolean loaded;
  private volatile long catchUpFailedAtMs = NEVER;
  private volatile long unreachableSinceMs = NEVER;
  private volatile long upToDateAtMs = NEVER;
  private volatile long lastHeardAtMs = NEVER;
  private volatile boolean ready;

  /**
   * Creates a follower.
   *
   * @param waitMs maximum time that a read waits for records, in milliseconds
   * @param pauseMs pause after a read that returned records, in milliseconds
   */
  public PartitionFollower(
      LogStore store,
      Topic topic,
      int partition,
      long waitMs,
      long pauseMs,
      Sink sink,
      Clock clock) {
    this(store, topic, partition, waitMs, () -> pauseMs, sink, clock);
  }

  /**
   * Creates a follower whose pause changes with the duties of its process.
   *
   * @param waitMs maximum time that a read waits for records, in milliseconds
   * @param pauseMs returns the pause after a read that returned records, in milliseconds
   */
  public PartitionFollower(
      LogStore store,
      Topic topic,
      int partition,
      long waitMs,
      LongSupplier pauseMs,
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

  /** Reads once and applies the records; meant to be called in a loop. */
  public void pollOnce() throws InterruptedException {
    pollOnce(waitMs);
  }

  /** Reads once, waiting at most the given time for records, and applies them. */
  void pollOnce(long maxWaitMs) throws InterruptedException {
    try {
      // A read that waits would confirm only late that the store answers again.
      boolean receivedRecords = readAndApply(unreachableMs() > 0 ? 0 : maxWaitMs);
      markReachable();
      if (receivedRecords) {
        Thread.sleep(pauseMs.getAsLong());
      }
    } catch (StoreUnavailableException e) {
      markUnreachable(e);
      Thread.sleep(STORE_RETRY_MS);
    }
  }

  /**
   * Applies all records that the partition contained when this method was called. Concurrent calls
   * share a read.
   *
   * @return false if the store did not answer, or the end was not reached in a few reads
   */
  public boolean catchUp() {
    long calledAtMs = clock.now();
    synchronized (catchUpLock) {
      if (upToDateAtMs > calledAtMs) {
        return true;
      }
      // Waiting for the store once more would delay the refusal.
      if (catchUpFailedAtMs > calledAtMs) {
        return false;
      }
      boolean caughtUp = readToEnd();
      if (!caughtUp) {
        catchUpFailedAtMs = clock.now();
      }
      return caughtUp;
    }
  }

  private boolean readToEnd() {
    try {
      for (int i = 0; i < MAX_CATCH_UP_READS; i++) {
        long startedAtMs = clock.now();
        readAndApply(0);
        if (upToDateAtMs >= startedAtMs) {
          markReachable();
          return true;
        }
      }
      return false;
    } catch (StoreUnavailableException e) {
      markUnreachable(e);
      return false;
    }
  }

  /**
   * Applies records that this process has just appended, unless earlier ones are still missing.
   *
   * @param offset offset of the first record
   */
  public synchronized void applyAppended(long offset, List<StoredRecord> records) {
    if (loaded && offset == nextOffset) {
      applyRecords(records, offset + records.size());
    }
  }

  /** Forgets that the store did not answer, because nothing will notice when it does again. */
  public synchronized void stopWatching() {
    if (unreachableSinceMs != NEVER) {
      logger.atInfo().log(
          "dependency not watched name=store topic=%s partition=%d unreachable_ms=%d",
          topic.name(), partition, unreachableMs());
      unreachableSinceMs = NEVER;
    }
  }

  /** Returns whether the state contains all records that were stored at a time of the clock. */
  boolean upToDateSince(long timeMs) {
    return upToDateAtMs != NEVER && upToDateAtMs >= timeMs;
  }

  /** Returns whether the partition has been read to its end at least once. */
  public boolean ready() {
    return ready;
  }

  /**
   * Returns the time since the state was last known to be up to date, in milliseconds; {@code
   * Long.MAX_VALUE} before the first time.
   */
  public long ageMs() {
    return upToDateAtMs == NEVER ? Long.MAX_VALUE : clock.now() - upToDateAtMs;
  }

  /** Returns how long the store has not answered, in milliseconds; 0 if it answers. */
  public long unreachableMs() {
    long since = unreachableSinceMs;
    return since == NEVER ? 0 : Math.max(1, clock.now() - since);
  }

  /**
   * Returns how long an answer of the store has been overdue, in milliseconds; {@code
   * Long.MAX_VALUE} before the first one.
   *
   * <p>An answer is due when the wait of a read ends. Records appended before it was due may be
   * missing while it is overdue, whether the store refuses reads or a connection is silent.
   */
  public long overdueMs() {
    long heardAtMs = lastHeardAtMs;
    return heardAtMs == NEVER
        ? Long.MAX_VALUE
        : Math.max(0, clock.now() - heardAtMs - pauseMs.getAsLong() - waitMs);
  }

  /** Reads from the current position; returns whether there was something to apply. */
  private boolean readAndApply(long maxWaitMs) {
    boolean loadedBefore = isLoaded();
    if (!loadedBefore) {
      load();
    }
    // A read that waits would confirm only late that the load is complete.
    long readWaitMs = loadedBefore && ready ? maxWaitMs : 0;
    long readStartedAtMs = clock.now();
    long fromOffset = nextOffset();
    LogStore.ReadResult read = store.read(topic, partition, fromOffset, readWaitMs);
    logIfLate(clock.now() - readStartedAtMs, readWaitMs);
    if (read.trimmed()) {
      skipTrimmedRecords(fromOffset, read.firstOffset());
      return true;
    }
    synchronized (this) {
      List<StoredRecord> newRecords =
          read.records().stream().filter(r -> r.offset() >= nextOffset).toList();
      boolean gap = !newRecords.isEmpty() && newRecords.get(0).offset() > nextOffset;
      if (!loaded || gap) {
        return true;
      }
      long readEndOffset = fromOffset + read.records().size();
      applyRecords(newRecords, Math.max(nextOffset, readEndOffset));
      if (nextOffset >= read.endOffset()) {
        upToDateAtMs = Math.max(upToDateAtMs, readStartedAtMs);
        lastHeardAtMs =
            Math.max(lastHeardAtMs, Math.min(clock.now(), readStartedAtMs + readWaitMs));
        ready = true;
      }
      return !read.records().isEmpty();
    }
  }

  private void logIfLate(long elapsedMs, long maxWaitMs) {
    if (elapsedMs > maxWaitMs + LATE_ANSWER_MS) {
      logger.atInfo().log(
          "store answered late topic=%s partition=%d ms=%d wait_ms=%d",
          topic.name(), partition, elapsedMs, maxWaitMs);
    }
  }

  private synchronized boolean isLoaded() {
    return loaded;
  }

  private synchronized long nextOffset() {
    return nextOffset;
  }

  private void load() {
    synchronized (loadLock) {
      if (!isLoaded()) {
        loadLatest();
      }
    }
  }

  private void loadLatest() {
    LogStore.LatestRecords latest =
        topic.keyed()
            ? store.readLatest(topic, partition)
            : new LogStore.LatestRecords(0, List.of());
    synchronized (this) {
      nextOffset = latest.nextOffset();
      sink.load(
          () -> {
            latest.records().forEach(this::applyOrSkip);
            sink.advanceTo(latest.nextOffset());
          });
      loaded = true;
    }
    logger.atInfo().log(
        "partition loaded topic=%s partition=%d keys=%d next=%d",
        topic.name(), partition, latest.records().size(), latest.nextOffset());
  }

  private synchronized void skipTrimmedRecords(long fromOffset, long firstOffset) {
    logger.atInfo().log(
        "partition trimmed topic=%s partition=%d from=%d first=%d",
        topic.name(), partition, fromOffset, firstOffset);
    if (nextOffset != fromOffset) {
      return;
    }
    if (topic.keyed()) {
      loaded = false;
    } else {
      sink.reset();
      nextOffset = Math.max(nextOffset, firstOffset);
      sink.advanceTo(nextOffset);
    }
  }

  private void applyRecords(List<StoredRecord> records, long endOffset) {
    records.forEach(this::applyOrSkip);
    nextOffset = endOffset;
    sink.advanceTo(endOffset);
  }

  private void applyOrSkip(StoredRecord stored) {
    try {
      sink.apply(stored);
    } catch (RuntimeException e) {
      logger.atWarning().log(
          "record skipped topic=%s partition=%d offset=%d key=%s cause=%s",
          topic.name(), partition, stored.offset(), stored.key(), e.getMessage());
    }
  }

  private synchronized void markUnreachable(StoreUnavailableException e) {
    if (unreachableSinceMs == NEVER) {
      unreachableSinceMs = clock.now();
      logger.atWarning().log(
          "dependency lost name=store topic=%s partition=%d age_ms=%d cause=%s",
          topic.name(), partition, ageMs(), e.getMessage());
    }
  }

  private synchronized void markReachable() {
    if (unreachableSinceMs != NEVER) {
      unreachableSinceMs = NEVER;
      logger.atInfo().log(
          "dependency regained name=store topic=%s partition=%d next=%d",
          topic.name(), partition, nextOffset);
    }
  }
}
