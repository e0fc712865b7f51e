package org.marigoldmill.server.relay;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.marigoldmill.core.relay.RelayPeers;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.schema.fleet.InstanceEntry;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.reachability.UpstreamPathMonitor;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;
import org.marigoldmill.server.store.Topic;

/**
 * Directory of the instances that carry requests for others, kept in the store.
 *
 * <p>An instance publishes its entry when it starts, when it loses or regains the upstreams, and
 * now and then so that the entries of instances that are gone can be told from those of others.
 */
public final class InstanceDirectory implements PartitionFollower.Sink {
  /** Topic that stores the directory. */
  public static final Topic TOPIC = new Topic("instances", true);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long READ_WAIT_MS = 10_000;
  private static final long READ_PAUSE_MS = 100;

  /** Bounds the writes of an instance whose path to the upstreams comes and goes. */
  private static final long MIN_PUBLISH_INTERVAL_MS = 1_000;

  private static final long REFRESH_INTERVAL_MS = 60_000;

  /** Age of an entry, with room for clocks that differ, after which its instance is gone. */
  private static final long MAX_AGE_MS = 3 * REFRESH_INTERVAL_MS;

  private static final int MAX_DELETED_AT_ONCE = 64;

  private final LogStore store;
  private final String instance;
  private final String zone;
  private final String relayAddress;
  private final RelayPeers peers;
  private final UpstreamPathMonitor path;
  private final LongSupplier unixMs;
  private final Clock clock;
  private final PartitionFollower follower;
  private final Map<String, Long> publishedUnixMs = new ConcurrentHashMap<>();
  private Optional<InstanceEntry> published = Optional.empty();
  private long publishedAtMs;
  private volatile boolean left;

  /**
   * Creates the directory.
   *
   * @param unixMs wall clock, in Unix milliseconds
   */
  public InstanceDirectory(
      LogStore store,
      DeploymentSettings settings,
      RelayPeers peers,
      UpstreamPathMonitor path,
      LongSupplier unixMs,
      Clock clock) {
    this.store = store;
    this.instance = settings.getInstance();
    this.zone = settings.getZone();
    this.relayAddress = settings.getRelayAddress();
    this.peers = peers;
    this.path = path;
    this.unixMs = unixMs;
    this.clock = clock;
    this.publishedAtMs = clock.now() - MIN_PUBLISH_INTERVAL_MS;
    this.follower =
        new PartitionFollower(store, TOPIC, 0, READ_WAIT_MS, READ_PAUSE_MS, this, clock);
  }

  /** Returns the follower that reads the topic. */
  public PartitionFollower follower() {
    return follower;
  }

  /**
   * Publishes the entry of this instance if it has changed or is old; to be called periodically.
   */
  public synchronized void publishDue() {
    boolean reaches = !path.isLost();
    long sinceMs = clock.now() - publishedAtMs;
    boolean changed = published.filter(e -> e.getReachesUpstreams() == reaches).isEmpty();
    boolean due = sinceMs >= (changed ? MIN_PUBLISH_INTERVAL_MS : REFRESH_INTERVAL_MS);
    if (left || relayAddress.isEmpty() || !due) {
      return;
    }
    publishedAtMs = clock.now();
    InstanceEntry entry =
        InstanceEntry.newBuilder()
            .setZone(zone)
            .setRelayAddress(relayAddress)
            .setReachesUpstreams(reaches)
            .setPublishedUnixMs(unixMs.getAsLong())
            .build();
    LogStore.AppendOutcome outcome =
        append(List.of(new KeyedRecord(instance, Optional.of(entry.toByteArray()))));
    published = outcome == LogStore.AppendOutcome.STORED ? Optional.of(entry) : Optional.empty();
    logger.atInfo().log("instance entry published reaches=%s outcome=%s", reaches, outcome);
  }

  /** Deletes entries of instances that are gone; for one instance at a time. */
  public void deleteOutdated() {
    long oldestUnixMs = unixMs.getAsLong() - MAX_AGE_MS;
    List<KeyedRecord> deletions =
        publishedUnixMs.entrySet().stream()
            .filter(e -> e.getValue() < oldestUnixMs)
            .limit(MAX_DELETED_AT_ONCE)
            .map(e -> new KeyedRecord(e.getKey(), Optional.empty()))
            .toList();
    if (!deletions.isEmpty()) {
      logger.atInfo().log(
          "instance entries deleted count=%d outcome=%s", deletions.size(), append(deletions));
    }
  }

  /** Publishes that this instance is leaving. */
  public synchronized void leave() {
    left = true;
    if (!relayAddress.isEmpty()) {
      append(List.of(new KeyedRecord(instance, Optional.empty())));
    }
  }

  @Override
  public void reset() {
    peers.clear();
    publishedUnixMs.clear();
  }

  @Override
  public void apply(StoredRecord stored) {
    if (stored.value().isEmpty()) {
      peers.remove(stored.key());
      publishedUnixMs.remove(stored.key());
      return;
    }
    try {
      InstanceEntry entry = InstanceEntry.parseFrom(stored.value().get());
      publishedUnixMs.put(stored.key(), entry.getPublishedUnixMs());
      if (unixMs.getAsLong() - entry.getPublishedUnixMs() <= MAX_AGE_MS) {
        peers.put(
            new RelayPeers.Peer(
                stored.key(),
                entry.getZone(),
                entry.getRelayAddress(),
                entry.getReachesUpstreams()));
      }
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("malformed instance entry: " + e.getMessage(), e);
    }
  }

  private LogStore.AppendOutcome append(List<KeyedRecord> records) {
    return store.append(TOPIC, 0, OptionalLong.empty(), records).outcome();
  }
}
