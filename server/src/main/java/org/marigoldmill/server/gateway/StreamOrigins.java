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
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.marigoldmill.core.continuation.ServiceVersions;
import org.marigoldmill.core.continuation.StreamTable;
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
 * one is looked up, and by the holder of the duty lease, which removes those that nobody needs.
 */
public final class StreamOrigins {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Topic DEFAULTS = new Topic("software", true);

  /** Keyed, because the store may forget the history of other topics at any time. */
  private static final Topic STREAMS = new Topic("stream-software", true);

  /** The only records of streams that former builds read and write. */
  private static final Topic FORMER_STREAMS = new Topic("streams", false);

  private static final long DEFAULTS_READ_WAIT_MS = 10_000;

  /** Keys of the store have at most 255 bytes. */
  private static final int MAX_KEY_BYTES = 200;

  /** Records that are removed with one call of the store. */
  private static final int MAX_REMOVALS = 500;

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
  private final BooleanSupplier enginesCurrent;
  private final EngineRegistry registry;
  private final ServiceVersions versions;
  private final Clock clock;
  private final PartitionFollower defaults;
  private final List<Streams> partitions = new ArrayList<>();

  /**
   * Creates the origins of one instance.
   *
   * @param enginesCurrent makes the registry as new as the store and returns whether it is
   */
  public StreamOrigins(
      LogStore store,
      EngineRegistry registry,
      BooleanSupplier enginesCurrent,
      int partitionCount,
      Clock clock) {
    this.store = store;
    this.enginesCurrent = enginesCurrent;
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
    partitions.forEach(Streams::expire);
  }

  private void update(String service, Map<String, Integer> counts, boolean publishDefaults) {
    long now = clock.now();
    versions.recordListed(service, counts.keySet(), now);
    String mostUsed = Collections.max(counts.entrySet(), Map.Entry.comparingByValue()).getKey();
    if (publishDefaults && defaults.ready()) {
      versions.nextDefault(service, mostUsed, now).ifPresent(v -> publishDefault(service, v));
    }
  }

  /** Removes the records of streams that nobody resumes; called by one instance, now and then. */
  public void removeExpiredRecords() {
    partitions.forEach(Streams::removeExpiredRecords);
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
    LogStore.AppendOutcome outcome = partition.append(origin);
    if (outcome == LogStore.AppendOutcome.STORED) {
      partition.put(stream, version);
      return true;
    }
    boolean mayBegin = versions.mayBeginUnrecorded(service, version);
    logger.atInfo().log(
        "stream origin not stored id=%s software=%s outcome=%s begins=%s",
        stream, version, outcome, mayBegin);
    return mayBegin;
  }

  /** Returns whether streams may begin with a version while the store does not answer. */
  boolean mayBeginUnrecorded(String service, String version) {
    return versions.mayBeginUnrecorded(service, version);
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
    // An engine may have started again under its id with another version since it was listed.
    if (!partition.catchUp() || !enginesCurrent.getAsBoolean()) {
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

  private static String key(String stream) {
    byte[] bytes = stream.getBytes(UTF_8);
    return bytes.length <= MAX_KEY_BYTES ? stream : "hash-" + UUID.nameUUIDFromBytes(bytes);
  }

  /** The streams of a partition that callers may resume. */
  private final class Streams implements PartitionFollower.Sink {
    private final int number;
    private final PartitionFollower follower;
    private final PartitionFollower formerFollower;
    private final StreamTable table = new StreamTable();

    /** Keys of the records that are stored, with the time when this process read them. */
    private final Map<String, Long> storedSinceMs = new LinkedHashMap<>();

    private Streams(int number) {
      this.number = number;
      this.follower = new PartitionFollower(store, STREAMS, number, 0, 0, this, clock);
      this.formerFollower =
          new PartitionFollower(store, FORMER_STREAMS, number, 0, 0, new FormerRecords(), clock);
    }

    /** Stores a record for instances of this build, and one for those of a former build. */
    private LogStore.AppendOutcome append(StreamOrigin origin) {
      byte[] value = origin.toByteArray();
      KeyedRecord keyed = new KeyedRecord(key(origin.getStream()), Optional.of(value));
      LogStore.AppendOutcome outcome = append(STREAMS, List.of(keyed));
      return outcome == LogStore.AppendOutcome.STORED
          ? append(FORMER_STREAMS, List.of(KeyedRecord.unkeyed(value)))
          : outcome;
    }

    private LogStore.AppendOutcome append(Topic topic, List<KeyedRecord> records) {
      return store.append(topic, number, OptionalLong.empty(), records).outcome();
    }

    private boolean catchUp() {
      return follower.catchUp() && formerFollower.catchUp();
    }

    private synchronized Optional<String> get(String stream) {
      return table.version(stream);
    }

    private synchronized void put(String stream, String version) {
      table.put(stream, version, clock.now());
    }

    private synchronized void expire() {
      table.removeExpired(clock.now());
    }

    /** Goes by the time of reading, as clocks of writers may differ. */
    private void removeExpiredRecords() {
      if (!follower.catchUp()) {
        return;
      }
      long now = clock.now();
      List<KeyedRecord> removals = removals(now);
      boolean stored = true;
      while (stored && !removals.isEmpty()) {
        LogStore.AppendOutcome outcome = append(STREAMS, removals);
        logger.atInfo().log(
            "stream records removed partition=%d count=%d outcome=%s",
            number, removals.size(), outcome);
        stored = outcome == LogStore.AppendOutcome.STORED;
        if (stored) {
          forget(removals);
          removals = removals(now);
        }
      }
    }

    private synchronized void forget(List<KeyedRecord> removed) {
      removed.forEach(r -> storedSinceMs.remove(r.key()));
    }

    private synchronized List<KeyedRecord> removals(long nowMs) {
      return storedSinceMs.entrySet().stream()
          .filter(e -> nowMs - e.getValue() > StreamTable.KEPT_MS)
          .limit(MAX_REMOVALS)
          .map(e -> new KeyedRecord(e.getKey(), Optional.empty()))
          .toList();
    }

    /** Keeps the versions that are known, because a record never changes. */
    @Override
    public synchronized void reset() {
      storedSinceMs.clear();
    }

    /** Keeps the times of records that are still stored. */
    @Override
    public synchronized void load(Runnable replay) {
      Map<String, Long> before = Map.copyOf(storedSinceMs);
      PartitionFollower.Sink.super.load(replay);
      storedSinceMs.replaceAll((key, since) -> before.getOrDefault(key, since));
    }

    @Override
    public synchronized void apply(StoredRecord stored) {
      if (stored.value().isEmpty()) {
        storedSinceMs.remove(stored.key());
        return;
      }
      storedSinceMs.putIfAbsent(stored.key(), clock.now());
      putRecord(stored.value().get());
    }

    private void putRecord(byte[] value) {
      try {
        StreamOrigin origin = StreamOrigin.parseFrom(value);
        put(origin.getStream(), origin.getSoftwareVersion());
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalArgumentException("malformed stream origin: " + e.getMessage(), e);
      }
    }

    /** Receives the records for former builds, which expire by themselves. */
    private final class FormerRecords implements PartitionFollower.Sink {
      /** Keeps the versions that are known, because a record never changes. */
      @Override
      public void reset() {}

      @Override
      public void apply(StoredRecord stored) {
        stored.value().ifPresent(Streams.this::putRecord);
      }
    }
  }
}
