package org.marigoldmill.server.store;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.IntFunction;
import org.marigoldmill.core.submission.KeyedRecord;

/** A store whose loads of partitions are answered by a test. */
public final class CustomLoadStore implements LogStore {
  private final LogStore store;
  private final IntFunction<LatestRecords> load;

  /**
   * Creates a store over another one, which answers all other calls.
   *
   * @param load answers the load of a partition
   */
  public CustomLoadStore(LogStore store, IntFunction<LatestRecords> load) {
    this.store = store;
    this.load = load;
  }

  @Override
  public LatestRecords readLatest(Topic topic, int partition) {
    return load.apply(partition);
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
