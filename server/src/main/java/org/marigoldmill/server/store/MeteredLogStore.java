package org.marigoldmill.server.store;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import org.marigoldmill.core.submission.KeyedRecord;

/** A log store that reports each call before passing it on. */
public final class MeteredLogStore implements LogStore {
  private static final String GROUP_CALL = "group";

  private final LogStore store;
  private final BiConsumer<String, String> onCall;

  /**
   * Creates a metered store.
   *
   * @param onCall receives the kind of a call and its topic or group
   */
  public MeteredLogStore(LogStore store, BiConsumer<String, String> onCall) {
    this.store = store;
    this.onCall = onCall;
  }

  @Override
  public AppendResult append(
      Topic topic, int partition, OptionalLong expectedEndOffset, List<KeyedRecord> records) {
    onCall.accept("append", topic.name());
    return store.append(topic, partition, expectedEndOffset, records);
  }

  @Override
  public ReadResult read(Topic topic, int partition, long fromOffset, long waitMs) {
    onCall.accept("read", topic.name());
    return store.read(topic, partition, fromOffset, waitMs);
  }

  @Override
  public LatestRecords readLatest(Topic topic, int partition) {
    onCall.accept("load", topic.name());
    return store.readLatest(topic, partition);
  }

  @Override
  public Membership join(String group, String member, Topic topic, long ttlMs, long generation) {
    onCall.accept(GROUP_CALL, group);
    return store.join(group, member, topic, ttlMs, generation);
  }

  @Override
  public void leave(String group, String member) {
    onCall.accept(GROUP_CALL, group);
    store.leave(group, member);
  }
}
