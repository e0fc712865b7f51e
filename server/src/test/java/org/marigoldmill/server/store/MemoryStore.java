package org.marigoldmill.server.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.marigoldmill.core.submission.KeyedRecord;

/** In-memory store of all topics and partitions, which serves every call. */
public final class MemoryStore implements LogStore {
  /** A partition of a topic. */
  public record Partition(Topic topic, int number) {}

  private final Map<Partition, FaultyStore> partitions = new LinkedHashMap<>();
  private final List<String> groups = new ArrayList<>();

  /** Returns the records of each partition, in the order of their first use. */
  public synchronized Map<Partition, List<StoredRecord>> records() {
    Map<Partition, List<StoredRecord>> records = new LinkedHashMap<>();
    partitions.forEach((p, log) -> records.put(p, log.allRecords()));
    return records;
  }

  /** Returns the names of the groups that were joined. */
  public synchronized List<String> groups() {
    return List.copyOf(groups);
  }

  /** Returns a store of the same partitions but those of a topic. */
  public synchronized MemoryStore withoutTopic(String name) {
    MemoryStore store = new MemoryStore();
    partitions.forEach(
        (partition, log) -> {
          if (!partition.topic().name().equals(name)) {
            store.partitions.put(partition, log);
          }
        });
    return store;
  }

  /** Trims the history of all partitions; the latest record of each key stays. */
  public synchronized void forgetHistory() {
    partitions.values().forEach(FaultyStore::trim);
  }

  @Override
  public AppendResult append(
      Topic topic, int partition, OptionalLong expectedEndOffset, List<KeyedRecord> records) {
    return log(topic, partition).append(topic, partition, expectedEndOffset, records);
  }

  @Override
  public ReadResult read(Topic topic, int partition, long fromOffset, long waitMs) {
    return log(topic, partition).read(topic, partition, fromOffset, waitMs);
  }

  @Override
  public LatestRecords readLatest(Topic topic, int partition) {
    return log(topic, partition).readLatest(topic, partition);
  }

  /** Assigns the first partition to every member. */
  @Override
  public synchronized Membership join(
      String group, String member, Topic topic, long ttlMs, long generation) {
    groups.add(group);
    return new Membership(1, List.of(0));
  }

  @Override
  public void leave(String group, String member) {}

  private synchronized FaultyStore log(Topic topic, int partition) {
    return partitions.computeIfAbsent(new Partition(topic, partition), p -> new FaultyStore(1, 0));
  }
}
