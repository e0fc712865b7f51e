package org.marigoldmill.server.store;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
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
  private final int parallelLoads;
  private final Supplier<List<Integer>> loadedFirst;
  private final Set<Integer> waiting = new LinkedHashSet<>();
  private int loading;

  /**
   * Creates a store over another one.
   *
   * @param parallelLoads number of partitions that are loaded at a time
   * @param loadedFirst returns the partitions that go before others, most urgent first
   */
  public BoundedLoadStore(LogStore store, int parallelLoads, Supplier<List<Integer>> loadedFirst) {
    this.store = store;
    this.parallelLoads = parallelLoads;
    this.loadedFirst = loadedFirst;
  }

  @Override
  public LatestRecords readLatest(Topic topic, int partition) {
    awaitTurn(partition);
    try {
      return store.readLatest(topic, partition);
    } finally {
      endLoad();
    }
  }

  private synchronized void awaitTurn(int partition) {
    long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MS);
    waiting.add(partition);
    try {
      while (loading >= parallelLoads || next() != partition) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNs - System.nanoTime());
        if (leftMs <= 0) {
          throw new StoreUnavailableException("other partitions are still being loaded");
        }
        wait(leftMs);
      }
      loading++;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StoreUnavailableException("load interrupted", e);
    } finally {
      waiting.remove(partition);
      notifyAll();
    }
  }

  private synchronized void endLoad() {
    loading--;
    notifyAll();
  }

  private int next() {
    return loadedFirst.get().stream()
        .filter(waiting::contains)
        .findFirst()
        .orElseGet(() -> waiting.iterator().next());
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
