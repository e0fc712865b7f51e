package org.marigoldmill.server.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.marigoldmill.core.quarantine.SuspectTable;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.core.usage.WindowTallies;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.LoadQueue;
import org.marigoldmill.core.weights.WeightPlan;
import org.marigoldmill.schema.fleet.FleetRecord;
import org.marigoldmill.schema.fleet.KeptItems;
import org.marigoldmill.schema.fleet.OrderedWeights;
import org.marigoldmill.schema.fleet.UsageSeal;
import org.marigoldmill.schema.fleet.UsageTally;
import org.marigoldmill.schema.fleet.WantedWeights;
import org.marigoldmill.schema.log.Usage;
import org.marigoldmill.schema.peer.Suspect;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;
import org.marigoldmill.server.store.Topic;

/** What the instances tell each other: usage that they counted, and orders that engines took. */
public final class FleetLog implements PartitionFollower.Sink {
  /** Where the instances tell each other. */
  public static final Topic TOPIC = new Topic("fleet", false);

  private static final int WINDOWS_KEPT = 64;
  private static final long POLL_MS = 2_000;

  private final LogStore store;
  private final String instance;
  private final EngineRegistry registry;
  private final EngineVersions versions;
  private final LoadQueue loads;
  private final SuspectTable suspects;
  private final LongSupplier unixMs;
  private final Map<String, Long> kept = new ConcurrentHashMap<>();
  private final Clock clock;
  private final PartitionFollower follower;
  private final WindowTallies tallies = new WindowTallies();
  private final TreeMap<Long, Map<String, Long>> seals = new TreeMap<>();
  private long completeSince;

  /** Creates the log of one instance. */
  public FleetLog(
      LogStore store,
      String instance,
      EngineRegistry registry,
      EngineVersions versions,
      LoadQueue loads,
      SuspectTable suspects,
      LongSupplier unixMs,
      Clock clock) {
    this.store = store;
    this.instance = instance;
    this.registry = registry;
    this.versions = versions;
    this.loads = loads;
    this.suspects = suspects;
    this.unixMs = unixMs;
    this.clock = clock;
    this.completeSince = unixMs.getAsLong();
    this.follower = new PartitionFollower(store, TOPIC, 0, POLL_MS, 0, this, clock);
  }

  /** Returns what keeps this up to date. */
  public PartitionFollower follower() {
    return follower;
  }

  /** Tells the usage that a process counted in a window. */
  LogStore.AppendOutcome tell(WindowTallies.Tally tally) {
    UsageTally record =
        UsageTally.newBuilder()
            .setProcess(tally.process())
            .setNumber(tally.number())
            .setWindow(tally.window())
            .addAllUsage(usage(tally.requests()))
            .build();
    return append(FleetRecord.newBuilder().setTally(record));
  }

  /** Proposes the figures of a window. */
  public LogStore.AppendOutcome seal(long window, Map<String, Long> counts) {
    UsageSeal seal = UsageSeal.newBuilder().setWindow(window).addAllUsage(usage(counts)).build();
    return append(FleetRecord.newBuilder().setSeal(seal));
  }

  /** Tells that an engine has accepted an order. */
  public LogStore.AppendOutcome ordered(OrderedWeights order) {
    return append(FleetRecord.newBuilder().setOrder(order));
  }

  /** Tells that this instance wants an engine to load weights. */
  public LogStore.AppendOutcome wanted(WeightPlan.Load load, long incarnation) {
    WantedWeights wanted =
        WantedWeights.newBuilder()
            .setEngine(load.engine())
            .setIncarnation(incarnation)
            .setModel(load.model())
            .setVersion(load.version())
            .setUrgent(load.urgent())
            .setKeepRuns(load.keepRuns())
            .build();
    return append(FleetRecord.newBuilder().setWanted(wanted));
  }

  /** Tells that an upstream crashed while it ran a request. */
  public LogStore.AppendOutcome crashed(String fingerprint, String upstream) {
    Suspect suspect =
        Suspect.newBuilder().setFingerprint(fingerprint).addUpstreams(upstream).build();
    return append(FleetRecord.newBuilder().setSuspect(suspect));
  }

  /** Tells which items this instance still generates while it stops. */
  public LogStore.AppendOutcome kept(List<String> items, long untilUnixMs) {
    return append(
        FleetRecord.newBuilder()
            .setKept(KeptItems.newBuilder().addAllItems(items).setUntilUnixMs(untilUnixMs)));
  }

  /** Returns whether another instance still generates an item, as SUBMISSION/ITEM. */
  public boolean keptElsewhere(String item) {
    Long until = kept.get(item);
    return until != null && unixMs.getAsLong() < until;
  }

  /** Returns what the processes told of the usage in each window. */
  WindowTallies tallies() {
    return tallies;
  }

  /** Returns whether the figures of a window are sealed. */
  synchronized boolean sealed(long window) {
    return seals.containsKey(window);
  }

  /** Returns the figures of each window that is sealed. */
  public synchronized Map<Long, Map<String, Long>> sealed() {
    return new TreeMap<>(seals);
  }

  /**
   * Returns the time of day from which on no record has been missed, in Unix milliseconds.
   *
   * <p>A window that ended before may have been sealed by a record that was dropped unread.
   */
  synchronized long completeSince() {
    return completeSince;
  }

  @Override
  public synchronized void reset() {
    completeSince = unixMs.getAsLong();
  }

  @Override
  public synchronized void apply(StoredRecord stored) {
    FleetRecord told;
    try {
      told = FleetRecord.parseFrom(stored.value().orElseThrow());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("fleet record: " + e.getMessage(), e);
    }
    switch (told.getBodyCase()) {
      case TALLY -> add(told.getTally());
      case SEAL ->
          seals.putIfAbsent(told.getSeal().getWindow(), counts(told.getSeal().getUsageList()));
      case ORDER -> note(told.getOrder());
      case WANTED -> wish(told.getWanted());
      case KEPT -> keep(told);
      case SUSPECT -> suspects.merge(List.of(told.getSuspect()), clock.now());
      default -> {
        // The body is of a newer version.
      }
    }
    while (seals.size() > WINDOWS_KEPT) {
      seals.pollFirstEntry();
    }
  }

  /** A tally that comes after its window was sealed is in no bill. */
  private void add(UsageTally tally) {
    if (seals.containsKey(tally.getWindow())) {
      return;
    }
    Map<String, Long> requests = counts(tally.getUsageList());
    tallies.add(
        new WindowTallies.Tally(
            tally.getProcess(), tally.getNumber(), tally.getWindow(), requests));
  }

  private void keep(FleetRecord told) {
    kept.values().removeIf(until -> until < unixMs.getAsLong());
    if (!told.getInstance().equals(instance)) {
      told.getKept().getItemsList().forEach(i -> kept.put(i, told.getKept().getUntilUnixMs()));
    }
  }

  private void note(OrderedWeights order) {
    registry
        .engine(order.getEngine())
        .filter(e -> e.incarnation() == order.getIncarnation())
        .ifPresent(
            e -> versions.ordered(e.id(), order.getModel(), order.getVersion(), clock.now()));
  }

  private void wish(WantedWeights wanted) {
    registry
        .engine(wanted.getEngine())
        .filter(e -> e.incarnation() == wanted.getIncarnation())
        .ifPresent(
            e ->
                loads.wish(
                    new WeightPlan.Load(
                        e.id(),
                        wanted.getModel(),
                        wanted.getVersion(),
                        wanted.getUrgent(),
                        wanted.getKeepRuns()),
                    clock.now()));
  }

  private LogStore.AppendOutcome append(FleetRecord.Builder told) {
    byte[] value = told.setInstance(instance).build().toByteArray();
    return store
        .append(TOPIC, 0, OptionalLong.empty(), List.of(KeyedRecord.unkeyed(value)))
        .outcome();
  }

  private static Map<String, Long> counts(List<Usage> usage) {
    Map<String, Long> counts = new HashMap<>();
    usage.forEach(u -> counts.merge(u.getOrganisation(), u.getRequests(), Long::sum));
    return counts;
  }

  private static List<Usage> usage(Map<String, Long> counts) {
    return counts.entrySet().stream()
        .map(e -> Usage.newBuilder().setOrganisation(e.getKey()).setRequests(e.getValue()).build())
        .toList();
  }
}
