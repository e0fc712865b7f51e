package org.marigoldmill.server.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.core.usage.WindowTallies;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.LoadQueue;
import org.marigoldmill.core.weights.WeightPlan;
import org.marigoldmill.schema.fleet.AcceptedSubmission;
import org.marigoldmill.schema.fleet.FleetRecord;
import org.marigoldmill.schema.fleet.KeptItems;
import org.marigoldmill.schema.fleet.OrderedWeights;
import org.marigoldmill.schema.fleet.UsageSeal;
import org.marigoldmill.schema.fleet.UsageTally;
import org.marigoldmill.schema.fleet.WantedWeights;
import org.marigoldmill.schema.log.Usage;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;
import org.marigoldmill.server.store.Topic;

/**
 * Log that the instances of a deployment share, read by those that have or may get a duty.
 *
 * <p>It carries counted usage, sealed usage windows, wanted loads and accepted weight orders, items
 * still in progress on stopping instances, and which submissions have been accepted.
 */
public final class FleetLog implements PartitionFollower.Sink {
  /** Topic that stores the log. */
  public static final Topic TOPIC = new Topic("fleet", false);

  /**
   * A load that an incarnation of an engine should do, or the withdrawal of one.
   *
   * @param incarnation start time of the engine, in Unix milliseconds
   */
  public record WantedLoad(WeightPlan.Load load, long incarnation) {}

  private static final int MAX_SEALED_WINDOWS = 64;
  private static final int MAX_ACCEPTED_SUBMISSIONS = 1_024;

  /** Steps that trainers request ahead, of all models of an owner together. */
  private static final int MAX_LATEST_SUBMISSIONS = 8;

  private static final long READ_WAIT_MS = 2_000;

  private final LogStore store;
  private final String instance;
  private final EngineRegistry registry;
  private final EngineVersions versions;
  private final LoadQueue loads;
  private final LongSupplier unixMs;
  private final Map<String, Long> itemsInProgressUntil = new ConcurrentHashMap<>();
  private final Deque<AcceptedSubmission> accepted = new ArrayDeque<>();
  private final Clock clock;
  private final PartitionFollower follower;
  private final WindowTallies tallies = new WindowTallies();
  private final TreeMap<Long, Map<String, Long>> sealedCounts = new TreeMap<>();
  private long completeSinceUnixMs;

  /**
   * Creates the log of one instance.
   *
   * @param readPauseMs returns the pause after a read that returned records, in milliseconds
   * @param unixMs wall clock, in Unix milliseconds
   */
  public FleetLog(
      LogStore store,
      String instance,
      EngineRegistry registry,
      EngineVersions versions,
      LoadQueue loads,
      LongSupplier readPauseMs,
      LongSupplier unixMs,
      Clock clock) {
    this.store = store;
    this.instance = instance;
    this.registry = registry;
    this.versions = versions;
    this.loads = loads;
    this.unixMs = unixMs;
    this.clock = clock;
    this.completeSinceUnixMs = unixMs.getAsLong();
    this.follower = new PartitionFollower(store, TOPIC, 0, READ_WAIT_MS, readPauseMs, this, clock);
  }

  /** Returns the follower that reads the topic. */
  public PartitionFollower follower() {
    return follower;
  }

  /** Publishes the usage that a process counted in a window. */
  LogStore.AppendOutcome publishTally(WindowTallies.Tally tally) {
    UsageTally tallyRecord =
        UsageTally.newBuilder()
            .setProcess(tally.process())
            .setNumber(tally.number())
            .setWindow(tally.window())
            .addAllUsage(toUsageList(tally.requests()))
            .build();
    return append(FleetRecord.newBuilder().setTally(tallyRecord));
  }

  /** Publishes the final request counts of a window; the first seal in the log is binding. */
  public LogStore.AppendOutcome publishSeal(long window, Map<String, Long> counts) {
    UsageSeal seal =
        UsageSeal.newBuilder().setWindow(window).addAllUsage(toUsageList(counts)).build();
    return append(FleetRecord.newBuilder().setSeal(seal));
  }

  /** Publishes that an engine has accepted an order to load weights. */
  public LogStore.AppendOutcome publishOrder(OrderedWeights order) {
    return append(FleetRecord.newBuilder().setOrder(order));
  }

  /**
   * Publishes loads of weights that this instance wants, and withdrawals of such loads, in one
   * append.
   */
  public LogStore.AppendOutcome publishWantedLoads(List<WantedLoad> wanted) {
    return append(wanted.stream().map(FleetLog::toRecord).toList());
  }

  /**
   * Publishes which items this instance still generates while it stops.
   *
   * @param items keys of the items, written SUBMISSION/ITEM
   * @param untilUnixMs time at which it ends at the latest, in Unix milliseconds
   */
  public LogStore.AppendOutcome publishItemsInProgress(List<String> items, long untilUnixMs) {
    return append(
        FleetRecord.newBuilder()
            .setKept(KeptItems.newBuilder().addAllItems(items).setUntilUnixMs(untilUnixMs)));
  }

  /** Publishes that a submission has been stored. */
  public LogStore.AppendOutcome publishAccepted(Submission submission) {
    return append(
        FleetRecord.newBuilder()
            .setAccepted(
                AcceptedSubmission.newBuilder()
                    .setId(submission.getId())
                    .setModel(submission.getModel())));
  }

  /** Returns the ids of submissions accepted lately for some models, latest first. */
  public synchronized List<String> latestSubmissions(Predicate<String> model) {
    return accepted.stream()
        .filter(a -> model.test(a.getModel()))
        .map(AcceptedSubmission::getId)
        .distinct()
        .limit(MAX_LATEST_SUBMISSIONS)
        .toList();
  }

  /**
   * Returns whether another instance still generates an item.
   *
   * @param item key of the item, written SUBMISSION/ITEM
   */
  public boolean isGeneratedElsewhere(String item) {
    Long until = itemsInProgressUntil.get(item);
    return until != null && unixMs.getAsLong() < until;
  }

  /** Returns the published tallies of each window. */
  WindowTallies tallies() {
    return tallies;
  }

  /** Returns whether the request counts of a window are sealed. */
  synchronized boolean isSealed(long window) {
    return sealedCounts.containsKey(window);
  }

  /** Returns the number of requests of each organisation in each sealed window. */
  public synchronized Map<Long, Map<String, Long>> sealedWindows() {
    return new TreeMap<>(sealedCounts);
  }

  /**
   * Returns the wall-clock time since which no record has been missed, in Unix milliseconds.
   *
   * <p>A window that ended earlier may have been sealed by a record that was trimmed before it was
   * read.
   */
  synchronized long completeSinceUnixMs() {
    return completeSinceUnixMs;
  }

  @Override
  public synchronized void reset() {
    completeSinceUnixMs = unixMs.getAsLong();
  }

  @Override
  public synchronized void apply(StoredRecord stored) {
    FleetRecord record;
    try {
      record = FleetRecord.parseFrom(stored.value().orElseThrow());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("malformed fleet record: " + e.getMessage(), e);
    }
    switch (record.getBodyCase()) {
      case TALLY -> addTally(record.getTally());
      case SEAL ->
          sealedCounts.putIfAbsent(
              record.getSeal().getWindow(), toCounts(record.getSeal().getUsageList()));
      case ORDER -> recordAcceptedOrder(record.getOrder());
      case WANTED -> addWantedLoad(record.getWanted());
      case KEPT -> addItemsInProgress(record);
      case ACCEPTED -> addAcceptedSubmission(record.getAccepted());
      default -> {
        // Written by a newer version of the software.
      }
    }
    while (sealedCounts.size() > MAX_SEALED_WINDOWS) {
      sealedCounts.pollFirstEntry();
    }
  }

  /** Ignores a tally of a sealed window, whose counts are final. */
  private void addTally(UsageTally tally) {
    if (sealedCounts.containsKey(tally.getWindow())) {
      return;
    }
    Map<String, Long> requests = toCounts(tally.getUsageList());
    tallies.add(
        new WindowTallies.Tally(
            tally.getProcess(), tally.getNumber(), tally.getWindow(), requests));
  }

  private void addAcceptedSubmission(AcceptedSubmission submission) {
    accepted.addFirst(submission);
    if (accepted.size() > MAX_ACCEPTED_SUBMISSIONS) {
      accepted.removeLast();
    }
  }

  private void addItemsInProgress(FleetRecord record) {
    itemsInProgressUntil.values().removeIf(until -> until < unixMs.getAsLong());
    if (!record.getInstance().equals(instance)) {
      record
          .getKept()
          .getItemsList()
          .forEach(i -> itemsInProgressUntil.put(i, record.getKept().getUntilUnixMs()));
    }
  }

  private void recordAcceptedOrder(OrderedWeights order) {
    registry
        .engine(order.getEngine())
        .filter(e -> e.incarnation() == order.getIncarnation())
        .ifPresent(
            e -> versions.recordOrder(e.id(), order.getModel(), order.getVersion(), clock.now()));
  }

  private void addWantedLoad(WantedWeights wanted) {
    registry
        .engine(wanted.getEngine())
        .filter(e -> e.incarnation() == wanted.getIncarnation())
        .ifPresent(
            e ->
                loads.request(
                    new WeightPlan.Load(
                        e.id(),
                        wanted.getModel(),
                        wanted.getVersion(),
                        wanted.getUrgent(),
                        wanted.getKeepRuns()),
                    clock.now()));
  }

  private static FleetRecord.Builder toRecord(WantedLoad wanted) {
    WeightPlan.Load load = wanted.load();
    return FleetRecord.newBuilder()
        .setWanted(
            WantedWeights.newBuilder()
                .setEngine(load.engine())
                .setIncarnation(wanted.incarnation())
                .setModel(load.model())
                .setVersion(load.version())
                .setUrgent(load.urgent())
                .setKeepRuns(load.keepRuns()));
  }

  private LogStore.AppendOutcome append(FleetRecord.Builder record) {
    return append(List.of(record));
  }

  private LogStore.AppendOutcome append(List<FleetRecord.Builder> records) {
    List<KeyedRecord> values =
        records.stream()
            .map(r -> KeyedRecord.unkeyed(r.setInstance(instance).build().toByteArray()))
            .toList();
    return store.append(TOPIC, 0, OptionalLong.empty(), values).outcome();
  }

  private static Map<String, Long> toCounts(List<Usage> usage) {
    Map<String, Long> counts = new HashMap<>();
    usage.forEach(u -> counts.merge(u.getOrganisation(), u.getRequests(), Long::sum));
    return counts;
  }

  private static List<Usage> toUsageList(Map<String, Long> counts) {
    return counts.entrySet().stream()
        .map(e -> Usage.newBuilder().setOrganisation(e.getKey()).setRequests(e.getValue()).build())
        .toList();
  }
}
