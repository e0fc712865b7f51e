package org.marigoldmill.server.store;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.marigoldmill.core.submission.KeyedRecord;

/**
 * A log store of which only some partitions are loaded at a time.
 *
 * <p>Answers the load of an instance that takes over work: it needs all partitions at once, and
 * their records grow with the work of the retention time. Loads that share a narrow connection all
 * exceed the time limit of a read, and begin anew; one after the other, the first are usable at
 * once and none is read twice.
 */
public final class BoundedLoadStore implements LogStore {
  /** Time after which a load that waits for others is given up, in milliseconds. */
  private static final long MAX_WAIT_MS = 3_000;

  private final LogStore store;
  private final Semaphore loads;

  /**
   * Creates a store over another one.
   *
   * @param parallelLoads number of partitions that are loaded at a time
   */
  public BoundedLoadStore(LogStore store, int parallelLoads) {
    this.store = store;
    this.loads = new Semaphore(parallelLoads, true);
  }

  @Override
  public LatestRecords readLatest(Topic topic, int partition) {
    try {
      if (!loads.tryAcquire(MAX_WAIT_MS, TimeUnit.MILLISECONDS)) {
        throw new StoreUnavailableException("other partitions are still being loaded");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StoreUnavailableException("load interrupted", e);
    }
    try {
      return store.readLatest(topic, partition);
    } finally {
      loads.release();
    }
  }

  @Override
  public AppendResult append(
      Topic topic, int partition, OptionalLong expectedEndOffset, List<KeyedRecord> records) {
    return store.append(topic, partition, expectedEndOffset, records);
  }

  @Override
  public ReadResult read(Topic topic, int partition, long fromOffset, long waitMs) {
    return store.read(topic, partition, fromOffset, waitMs);
  }

  @Override
  public Membership join(String group, String member, Topic topic, long ttlMs, long generation) {
    return store.join(group, member, topic, ttlMs, generation);
  }

  @Override
  public void leave(String group, String member) {
    store.leave(group, member);
  }
}
