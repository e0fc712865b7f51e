package org.marigoldmill.server.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.OptionalLong;
import org.marigoldmill.core.quarantine.SuspectTable;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.schema.fleet.FleetRecord;
import org.marigoldmill.schema.peer.Suspect;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;
import org.marigoldmill.server.store.Topic;

/**
 * Log of the requests suspected of crashing upstreams, which every instance follows.
 *
 * <p>It is apart from the {@link FleetLog}, so that an instance without a duty reads only these few
 * records.
 */
public final class CrashLog implements PartitionFollower.Sink {
  /** Topic that stores the log. */
  public static final Topic TOPIC = new Topic("crashes", false);

  private static final long READ_WAIT_MS = 2_000;

  private final LogStore store;
  private final String instance;
  private final SuspectTable suspects;
  private final Clock clock;
  private final PartitionFollower follower;

  /** Creates the log of one instance. */
  public CrashLog(LogStore store, String instance, SuspectTable suspects, Clock clock) {
    this.store = store;
    this.instance = instance;
    this.suspects = suspects;
    this.clock = clock;
    this.follower = new PartitionFollower(store, TOPIC, 0, READ_WAIT_MS, 0, this, clock);
  }

  /** Returns the follower that reads the topic. */
  public PartitionFollower follower() {
    return follower;
  }

  /** Publishes that an upstream crashed while it ran a request. */
  public LogStore.AppendOutcome publishCrash(String fingerprint, String upstream) {
    FleetRecord crash =
        FleetRecord.newBuilder()
            .setInstance(instance)
            .setSuspect(Suspect.newBuilder().setFingerprint(fingerprint).addUpstreams(upstream))
            .build();
    return store
        .append(TOPIC, 0, OptionalLong.empty(), List.of(KeyedRecord.unkeyed(crash.toByteArray())))
        .outcome();
  }

  /** Keeps all suspects, because they expire by themselves. */
  @Override
  public void reset() {}

  @Override
  public void apply(StoredRecord stored) {
    try {
      FleetRecord record = FleetRecord.parseFrom(stored.value().orElseThrow());
      suspects.merge(List.of(record.getSuspect()), clock.now());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("malformed crash record: " + e.getMessage(), e);
    }
  }
}
