package org.marigoldmill.server.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.marigoldmill.core.continuation.ServiceVersions;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.schema.fleet.DefaultSoftware;
import org.marigoldmill.schema.fleet.StreamOrigin;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;
import org.marigoldmill.server.store.Topic;

/**
 * Stores with which software version streams were begun, and looks it up when a caller resumes a
 * stream at another instance.
 *
 * <p>The default versions of the services are followed; the records of streams are read only when
 * one is looked up.
 */
public final class StreamOrigins {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Topic DEFAULTS = new Topic("software", true);
  private static final Topic STREAMS = new Topic("streams", false);
  private static final long DEFAULTS_READ_WAIT_MS = 10_000;
  private static final int MAX_STREAMS_PER_PARTITION = 10_000;

  /** Where a stream may be continued. */
  enum Origin {
    /** At engines of a known software version. */
    KNOWN,
    /** Not known now; the store may tell it later. */
    UNKNOWN
  }

  /**
   * What is known of the begin of a stream.
   *
   * @param softwareVersion version of the engines that may continue it, if known
   */
  record Begin(Origin origin, Optional<String> softwareVersion) {
    private static Begin of(String version) {
      return new Begin(Origin.KNOWN, Optional.of(version));
    }

    private static Begin unknown() {
      return new Begin(Origin.UNKNOWN, Optional.empty());
    }
  }

  private final LogStore store;
  private final EngineRegistry registry;
  private final ServiceVersions versions;
  private final Clock clock;
  private final PartitionFollower defaults;
  private final List<Streams> partitions = new ArrayList<>();

  /** Creates the origins of one instance. */
  public StreamOrigins(LogStore store, EngineRegistry registry, int partitionCount, Clock clock) {
    this.store = store;
    this.registry = registry;
    this.versions = new ServiceVersions(clock.now());
    this.clock = clock;
    this.defaults =
        new PartitionFollower(store, DEFAULTS, 0, DEFAULTS_READ_WAIT_MS, 0, new Defaults(), clock);
    for (int i = 0; i < partitionCount; i++) {
      partitions.add(new Streams(i));
    }
  }

  /** Returns the follower of the default versions. */
  public PartitionFollower follower() {
    return defaults;
  }

  /** Notes which versions serve, and stores new default versions; called about once a second. */
  public void update(boolean publishDefaults) {
    registry
        .softwareVersions()
        .forEach((service, counts) -> update(service, counts, publishDefaults));
  }

  private void update(String service, Map<String, Integer> counts, boolean publishDefaults) {
    long now = clock.now();
    versions.recordListed(service, counts.keySet(), now);
    String mostUsed = Collections.max(counts.entrySet(), Map.Entry.comparingByValue()).getKey();
    if (publishDefaults && defaults.ready()) {
      versions.nextDefault(service, mostUsed, now).ifPresent(v -> publishDefault(service, v));
    }
  }

  /**
   * Stores with which version a stream begins, if that is needed.
   *
   * @return false if the stream must not begin with this version now
   */
  boolean recordBegin(String service, String stream, String version) {
    long now = clock.now();
    if (!versions.mustRecord(service, version, now)) {
      return true;
    }
    Streams partition = partition(stream);
    StreamOrigin origin =
        StreamOrigin.newBuilder().setStream(stream).setSoftwareVersion(version).build();
    LogStore.AppendOutcome outcome =
        store
            .append(
                STREAMS,
                partition.number,
                OptionalLong.empty(),
                List.of(KeyedRecord.unkeyed(origin.toByteArray())))
            .outcome();
    if (outcome == LogStore.AppendOutcome.STORED) {
      partition.put(stream, version);
      return true;
    }
    boolean mayBegin = versions.mayBeginUnrecorded(service, version, now);
    logger.atInfo().log(
        "stream origin not stored id=%s software=%s outcome=%s begins=%s",
        stream, version, outcome, mayBegin);
    return mayBegin;
  }

  /** Returns whether streams may begin with a version while the store does not answer. */
  boolean mayBeginUnrecorded(String service, String version) {
    return versions.mayBeginUnrecorded(service, version, clock.now());
  }

  /**
   * Returns with which version a stream was begun.
   *
   * @param stream id of the request that brought its first event, if the caller has named it
   */
  Begin begin(String service, Optional<String> stream) {
    if (stream.isEmpty()) {
      return Begin.unknown();
    }
    Streams partition = partition(stream.get());
    Optional<String> recorded = partition.get(stream.get());
    if (recorded.isPresent()) {
      return Begin.of(recorded.get());
    }
    if (!partition.follower.catchUp()) {
      return Begin.unknown();
    }
    return partition
        .get(stream.get())
        .or(() -> defaultVersion(service))
        .map(Begin::of)
        .orElseGet(Begin::unknown);
  }

  /** Returns the default version, which a process that has just started may not have read yet. */
  private Optional<String> defaultVersion(String service) {
    return defaults.overdueMs() == 0 || defaults.catchUp()
        ? versions.versionWithoutRecord(service)
        : Optional.empty();
  }

  private void publishDefault(String service, String version) {
    byte[] value = DefaultSoftware.newBuilder().setSoftwareVersion(version).build().toByteArray();
    KeyedRecord appended = new KeyedRecord(service, Optional.of(value));
    LogStore.AppendOutcome outcome =
        store.append(DEFAULTS, 0, OptionalLong.empty(), List.of(appended)).outcome();
    logger.atInfo().log(
        "default software published service=%s software=%s outcome=%s", service, version, outcome);
  }

  private Streams partition(String stream) {
    int hash = Arrays.hashCode(stream.getBytes(UTF_8));
    return partitions.get(Math.floorMod(hash, partitions.size()));
  }

  /** Receives the default versions. */
  private final class Defaults implements PartitionFollower.Sink {
    /** Keeps the default versions until the next ones are read. */
    @Override
    public void reset() {}

    @Override
    public void apply(StoredRecord stored) {
      try {
        DefaultSoftware software = DefaultSoftware.parseFrom(stored.value().orElseThrow());
        versions.recordDefault(stored.key(), software.getSoftwareVersion(), clock.now());
        logger.atInfo().log(
            "default software service=%s software=%s", stored.key(), software.getSoftwareVersion());
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalArgumentException("malformed default software: " + e.getMessage(), e);
      }
    }
  }

  /** The newest streams of a partition. */
  private final class Streams implements PartitionFollower.Sink {
    private final int number;
    private final PartitionFollower follower;
    private final Map<String, String> versionByStream =
        new LinkedHashMap<>() {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAX_STREAMS_PER_PARTITION;
          }
        };

    private Streams(int number) {
      this.number = number;
      this.follower = new PartitionFollower(store, STREAMS, number, 0, 0, this, clock);
    }

    private synchronized Optional<String> get(String stream) {
      return Optional.ofNullable(versionByStream.get(stream));
    }

    private synchronized void put(String stream, String version) {
      versionByStream.put(stream, version);
    }

    /** Keeps what is known, because a record never changes. */
    @Override
    public void reset() {}

    @Override
    public void apply(StoredRecord stored) {
      try {
        StreamOrigin origin = StreamOrigin.parseFrom(stored.value().orElseThrow());
        put(origin.getStream(), origin.getSoftwareVersion());
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalArgumentException("malformed stream origin: " + e.getMessage(), e);
      }
    }
  }
}
