package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.marigoldmill.core.continuation.Continuation;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.placement.AllowedZones;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.placement.EngineLoads;
import org.marigoldmill.core.placement.MovePolicy;
import org.marigoldmill.core.placement.RunLengths;
import org.marigoldmill.core.supply.EngineNeed;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.batch.EngineAllocation.ServedModel;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.RegionRules;
import org.marigoldmill.server.duty.FleetLog;

/** Assigns the open items of the models that this instance owns to engines. */
public final class RolloutScheduler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long ROUND_INTERVAL_MS = 40;
  private static final long IDLE_INTERVAL_MS = 500;
  private static final long MOVE_INTERVAL_MS = 200;
  private static final Comparator<ItemTask> OLDEST_FIRST =
      Comparator.comparingLong((ItemTask t) -> t.submission().getAcceptedAtMs())
          .thenComparing(t -> t.submission().getId());

  /** Starts the longest item of a submission first, because the last item ends the step. */
  private static final Comparator<ItemTask> START_ORDER =
      OLDEST_FIRST
          .thenComparing(Comparator.comparingLong(ItemTask::expectedTokens).reversed())
          .thenComparingInt(ItemTask::position);

  /**
   * Items that wait for the engines of a model.
   *
   * @param waitingItems number of items without an attempt in progress
   * @param minVersion oldest version of the weights that all of them accept; 0 if none waits
   * @param singleVersion whether at least one of them must not mix versions
   */
  record Backlog(int waitingItems, long minVersion, boolean singleVersion) {
    static final Backlog NONE = new Backlog(0, 0, false);

    private static Backlog of(List<Submission> waiting) {
      return new Backlog(
          waiting.size(),
          waiting.stream().mapToLong(Submission::getMinVersion).max().orElse(0),
          waiting.stream().anyMatch(Submission::getSingleVersion));
    }
  }

  /** What runs have in common that can take each other's places. */
  private record RunGroup(ServedModel served, String software) {
    private static RunGroup of(ItemTask task) {
      return new RunGroup(
          new ServedModel(task.engineService(), task.submission().getModel()),
          task.engineSoftware());
    }
  }

  private final SubmissionPartitions partitions;
  private final RolloutMembership membership;
  private final ModelEngineAllocator allocator;
  private final DeploymentState deployment;
  private final RegionRules regions;
  private final EngineLoads loads;
  private final RunLengths lengths;
  private final EngineLimits limits;
  private final EngineVersions versions;
  private final ItemRunner runner;
  private final TextLog texts;
  private final Executor executor;
  private final BooleanSupplier upstreamsLost;
  private final FleetLog fleet;
  private final String zone;
  private final Clock clock;
  private final Map<String, ItemTask> tasks = new LinkedHashMap<>();
  private long reconciledChangeCount = -1;
  private long lastMoveCheckMs;
  private volatile boolean draining;
  private volatile boolean active;

  /**
   * Creates a scheduler.
   *
   * @param executor runs one task for each attempt
   * @param upstreamsLost whether this instance reaches no upstream, and so starts nothing
   * @param zone availability zone of this instance
   */
  RolloutScheduler(
      SubmissionPartitions partitions,
      RolloutMembership membership,
      ModelEngineAllocator allocator,
      DeploymentState deployment,
      RegionRules regions,
      EngineLoads loads,
      RunLengths lengths,
      EngineLimits limits,
      EngineVersions versions,
      ItemRunner runner,
      TextLog texts,
      Executor executor,
      BooleanSupplier upstreamsLost,
      FleetLog fleet,
      String zone,
      Clock clock) {
    this.partitions = partitions;
    this.membership = membership;
    this.allocator = allocator;
    this.deployment = deployment;
    this.regions = regions;
    this.loads = loads;
    this.lengths = lengths;
    this.limits = limits;
    this.versions = versions;
    this.runner = runner;
    this.texts = texts;
    this.executor = executor;
    this.upstreamsLost = upstreamsLost;
    this.fleet = fleet;
    this.zone = zone;
    this.clock = clock;
  }

  /**
   * Starts and moves items, then waits for a change; meant to be called in a loop.
   *
   * <p>Partitions are followed only while this instance owns a model or has items in progress.
   */
  public void scheduleOnce() {
    long changeCount = partitions.changeCount();
    // Also without models, so that the texts of one that comes back are read again.
    texts.follow(ownedModels());
    boolean needed = partitionsNeeded();
    if (needed && !partitions.followed()) {
      // Tells which partitions hold the submissions of the models that this instance has got.
      fleet.follower().catchUp();
    }
    synchronized (this) {
      partitions.followAll(needed);
    }
    boolean ready = needed && partitions.current();
    if (ready && !active) {
      // A stopping instance may have published which items it keeps.
      fleet.follower().catchUp();
    }
    synchronized (this) {
      active = ready;
      if (active) {
        runRound(changeCount);
      }
    }
    partitions.awaitChange(changeCount, needed ? ROUND_INTERVAL_MS : IDLE_INTERVAL_MS);
  }

  private synchronized boolean partitionsNeeded() {
    return !tasks.isEmpty() || !ownedModels().isEmpty();
  }

  private List<String> ownedModels() {
    return allocator.models().stream().filter(membership::ownsModel).toList();
  }

  /** Stores what is new of the texts in progress; meant to be called periodically. */
  void storeTexts() {
    List<ItemTask> unfinished;
    synchronized (this) {
      unfinished = List.copyOf(tasks.values());
    }
    texts.storeDue(unfinished);
  }

  /** Returns whether this instance has models or items, and has read the partitions. */
  boolean active() {
    return active;
  }

  private void runRound(long changeCount) {
    if (reconciledChangeCount != changeCount) {
      reconcile();
      reconciledChangeCount = changeCount;
    }
    startReadyItems();
    moveSlowRuns();
  }

  /** Returns the items that wait, by the engines that they wait for. */
  synchronized Map<ServedModel, Backlog> backlogs(EngineAllocation engines) {
    ItemRouter router = new ItemRouter(deployment.config(), engines);
    return tasks.values().stream()
        .filter(t -> !t.running() && !t.textComplete())
        .flatMap(t -> router.route(t).map(s -> Map.entry(s, t.submission())).stream())
        .collect(
            Collectors.groupingBy(
                Map.Entry::getKey,
                Collectors.mapping(
                    Map.Entry::getValue,
                    Collectors.collectingAndThen(Collectors.toList(), Backlog::of))));
  }

  /**
   * Returns the work of the open items of a model at a service, by submission.
   *
   * @param msPerToken slot time of an item for an expected token, in milliseconds
   * @param nowUnixMs current time by the wall clock, in Unix milliseconds
   */
  synchronized List<EngineNeed.Work> openWork(
      ServedModel served, EngineAllocation engines, double msPerToken, long nowUnixMs) {
    long now = clock.now();
    ItemRouter router = new ItemRouter(deployment.config(), engines);
    Map<Submission, Double> slotMs =
        tasks.values().stream()
            .filter(t -> !t.cancelled() && t.submission().getModel().equals(served.model()))
            .filter(t -> router.route(t).filter(served::equals).isPresent())
            .collect(
                Collectors.groupingBy(
                    ItemTask::submission,
                    Collectors.summingDouble(t -> t.remainingSlotMs(msPerToken, now))));
    return slotMs.entrySet().stream()
        .map(
            e ->
                new EngineNeed.Work(
                    e.getKey().getAcceptedAtMs() + e.getKey().getDueMs() - nowUnixMs, e.getValue()))
        .toList();
  }

  private long remainingEvents(ItemTask task) {
    return lengths.remainingEvents(
        task.submission().getModel(), task.expectedTokens(), task.generatedEvents());
  }

  /**
   * Stops taking on items; those that have had an attempt here continue.
   *
   * @return keys of the items that continue
   */
  public synchronized List<String> startDraining() {
    draining = true;
    return tasks.values().stream().filter(ItemTask::hasStarted).map(ItemTask::key).toList();
  }

  /** Returns the number of attempts in progress. */
  public synchronized int runningAttempts() {
    return (int) tasks.values().stream().filter(ItemTask::running).count();
  }

  /** Cancels all items. */
  public synchronized void cancelAll() {
    tasks.values().forEach(ItemTask::cancel);
  }

  /** Adds tasks for new items of owned models, and cancels those whose result is not needed. */
  private void reconcile() {
    Set<String> wanted = new HashSet<>();
    for (Submission submission : partitions.openSubmissions()) {
      if (!draining && !membership.ownsModel(submission.getModel())) {
        continue;
      }
      List<RolloutItem> items =
          partitions.replicaFor(submission.getId()).state().openItems(submission.getId());
      List<ItemTask> added = new ArrayList<>();
      for (int i = 0; i < items.size(); i++) {
        RolloutItem item = items.get(i);
        String key = submission.getId() + "/" + item.getId();
        wanted.add(key);
        if (!draining && !tasks.containsKey(key)) {
          ItemTask task = newTask(submission, item, i);
          tasks.put(key, task);
          added.add(task);
        }
      }
      if (!added.isEmpty()) {
        useFinishedTexts(submission, added);
      }
    }
    tasks
        .entrySet()
        .removeIf(
            e -> {
              boolean dropped = !wanted.contains(e.getKey());
              if (dropped) {
                drop(e.getValue());
              }
              return dropped;
            });
  }

  /** Spares engines the items that an earlier step has finished and its trainer asks for again. */
  private void useFinishedTexts(Submission submission, List<ItemTask> added) {
    Map<String, ItemResult> usable = partitions.usableResults(submission);
    if (!usable.isEmpty()) {
      added.forEach(t -> Optional.ofNullable(usable.get(t.digest())).ifPresent(t::useFinishedText));
    }
    logger.atInfo().log(
        "submission taken on id=%s model=%s step=%d items=%d of=%d finished=%d min_version=%d"
            + " age_ms=%d",
        submission.getId(),
        submission.getModel(),
        submission.getStep(),
        added.size(),
        submission.getItemCount(),
        added.stream().filter(t -> t.finishedText().isPresent()).count(),
        submission.getMinVersion(),
        System.currentTimeMillis() - submission.getAcceptedAtMs());
  }

  private void drop(ItemTask task) {
    String submission = task.submission().getId();
    boolean finished =
        partitions.replicaFor(submission).state().hasResult(submission, task.item().getId());
    if (!finished && task.generatedEvents() > 0) {
      logger.atInfo().log(
          "item dropped id=%s submission=%s step=%d events=%d remaining=%d versions=%s owned=%s",
          task.item().getId(),
          submission,
          task.submission().getStep(),
          task.generatedEvents(),
          remainingEvents(task),
          task.text().versions(),
          membership.ownsModel(task.submission().getModel()));
      texts.keep(task);
    }
    task.cancel();
  }

  private ItemTask newTask(Submission submission, RolloutItem item, int position) {
    Optional<String> violation = ItemSyntax.violation(item);
    violation.ifPresent(
        v ->
            logger.atWarning().log(
                "item never sent submission=%s position=%d cause=%s",
                submission.getId(), position, v));
    return new ItemTask(submission, item, position, violation.isEmpty(), clock.now());
  }

  private void startReadyItems() {
    long now = clock.now();
    List<ItemTask> ready =
        tasks.values().stream()
            .filter(t -> t.canStart(now) && mayStartHere(t) && texts.prepare(t))
            .sorted(START_ORDER)
            .toList();
    if (ready.isEmpty() || upstreamsLost.getAsBoolean()) {
      return;
    }
    partitions.engineTimes().forEach(loads::assumeSpeed);
    EngineAllocation engines = allocator.allocation();
    ItemRouter router = new ItemRouter(deployment.config(), engines);
    Set<String> atLimit = new HashSet<>();
    for (ItemTask task : ready) {
      if (task.textComplete()) {
        startScoring(task);
        continue;
      }
      Continuation.Choice choice = choose(task, router.route(task), engines, now);
      acquire(choice.engines(), atLimit, now).ifPresent(e -> startAttempt(task, e));
    }
  }

  private void startScoring(ItemTask task) {
    task.startScoring();
    execute(task, () -> runner.finish(task), () -> {});
  }

  /** Runs a step of an item on a thread; lets the item wait for one if there is none. */
  private void execute(ItemTask task, Runnable step, Runnable undo) {
    try {
      executor.execute(step);
    } catch (RejectedExecutionException e) {
      undo.run();
      task.endAttempt(clock.now() + ROUND_INTERVAL_MS);
      logger.atWarning().log(
          "item not started, will retry id=%s cause=no thread", task.item().getId());
    }
  }

  private Continuation.Choice choose(
      ItemTask task, Optional<ServedModel> routed, EngineAllocation engines, long now) {
    if (routed.isEmpty()) {
      return new Continuation.Choice(List.of(), false);
    }
    ServedModel served = routed.get();
    Submission submission = task.submission();
    AllowedZones zones = regions.zones(submission, task.item());
    List<Engine> allocated = within(zones, engines.of(served));
    Optional<String> begunWith =
        task.text()
            .softwareVersion()
            .filter(v -> task.textService().filter(served.service()::equals).isPresent());
    List<Engine> others =
        begunWith.isEmpty()
            ? List.of()
            : engines.ofService(served.service()).stream()
                .filter(e -> !allocated.contains(e) && zones.includes(e.zone()))
                .toList();
    return Continuation.choose(
        begunWith,
        ableToRun(allocated, submission, now),
        allocated,
        ableToRun(others, submission, now),
        task.waitedMs(now));
  }

  private static List<Engine> within(AllowedZones zones, List<Engine> engines) {
    return zones.restricted()
        ? engines.stream().filter(e -> zones.includes(e.zone())).toList()
        : engines;
  }

  private List<Engine> ableToRun(List<Engine> engines, Submission submission, long now) {
    return engines.stream().filter(e -> canRun(e, submission, now)).toList();
  }

  /**
   * Reserves a slot at an engine, and a turn where it names a request limit.
   *
   * @param atLimit engines without a turn in this round; extended
   */
  private Optional<Engine> acquire(List<Engine> suitable, Set<String> atLimit, long now) {
    Optional<Engine> chosen = reserve(suitable, atLimit, now);
    while (chosen.isPresent() && !limits.tryAcquire(chosen.get().id(), Urgency.BACKGROUND, now)) {
      loads.release(chosen.get().id());
      atLimit.add(chosen.get().id());
      chosen = reserve(suitable, atLimit, now);
    }
    return chosen;
  }

  /** Reserves a slot, at a cold engine only if no warm one has room. */
  private Optional<Engine> reserve(List<Engine> suitable, Set<String> atLimit, long now) {
    List<Engine> candidates = without(suitable, atLimit);
    List<Engine> warm = candidates.stream().filter(e -> !limits.isCold(e.id(), now)).toList();
    return loads.acquire(warm, zone, now).or(() -> loads.acquire(candidates, zone, now));
  }

  private static List<Engine> without(List<Engine> engines, Set<String> excluded) {
    return excluded.isEmpty()
        ? engines
        : engines.stream().filter(e -> !excluded.contains(e.id())).toList();
  }

  /** A draining instance continues only its own items, and other instances leave them to it. */
  private boolean mayStartHere(ItemTask task) {
    return draining ? task.hasStarted() : !fleet.isGeneratedElsewhere(task.key());
  }

  private boolean canRun(Engine engine, Submission submission, long now) {
    String model = submission.getModel();
    return !versions.loading(engine.id(), model, now)
        && versions.expectedVersion(engine.id(), model, now) >= submission.getMinVersion();
  }

  /** Moves runs from slow engines to faster ones, for models without waiting items. */
  private void moveSlowRuns() {
    long now = clock.now();
    if (now - lastMoveCheckMs < MOVE_INTERVAL_MS) {
      return;
    }
    lastMoveCheckMs = now;
    Map<RunGroup, List<ItemTask>> running =
        tasks.values().stream()
            .filter(ItemTask::generating)
            .collect(Collectors.groupingBy(RunGroup::of));
    if (running.isEmpty()) {
      return;
    }
    EngineAllocation engines = allocator.allocation();
    Map<ServedModel, Backlog> backlogs = backlogs(engines);
    running.forEach(
        (group, runs) -> {
          Set<String> due = itemsToMove(group, runs, engines.of(group.served()), now);
          int waiting = backlogs.getOrDefault(group.served(), Backlog.NONE).waitingItems();
          if (waiting == 0) {
            runs.stream().filter(t -> due.contains(t.item().getId())).forEach(this::move);
          } else if (!due.isEmpty()) {
            logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "items not moved model=%s items=%d waiting=%d",
                group.served().model(), due.size(), waiting);
          }
        });
  }

  private void move(ItemTask task) {
    logger.atInfo().log(
        "item moves id=%s engine=%s events=%d ms_per_event=%.0f",
        task.item().getId(),
        task.engineId(),
        task.generatedEvents(),
        loads.msPerEvent(task.engineId()));
    task.move();
  }

  private Set<String> itemsToMove(
      RunGroup group, List<ItemTask> running, List<Engine> engines, long now) {
    String model = group.served().model();
    long minVersion =
        running.stream().mapToLong(t -> t.submission().getMinVersion()).max().orElse(0);
    List<AllowedZones> zones =
        running.stream()
            .map(t -> regions.zones(t.submission(), t.item()))
            .filter(AllowedZones::restricted)
            .toList();
    List<MovePolicy.Room> rooms =
        engines.stream()
            .filter(e -> zones.stream().allMatch(z -> z.includes(e.zone())))
            .filter(e -> !versions.loading(e.id(), model, now))
            .filter(e -> versions.expectedVersion(e.id(), model, now) >= minVersion)
            .filter(e -> !limits.isLimited(e.id()) && !limits.isCold(e.id(), now))
            .filter(e -> e.softwareVersion().equals(group.software()))
            .map(
                e -> new MovePolicy.Room(e.id(), loads.msPerEvent(e.id()), loads.freeSlots(e, now)))
            .toList();
    List<MovePolicy.Run> runs =
        running.stream()
            .map(
                t ->
                    new MovePolicy.Run(
                        t.item().getId(), t.engineId(), t.startedAtMs(), remainingEvents(t)))
            .toList();
    Map<String, Double> speeds =
        running.stream()
            .map(ItemTask::engineId)
            .distinct()
            .collect(Collectors.toMap(e -> e, loads::msPerEvent));
    return Set.copyOf(MovePolicy.itemsToMove(runs, speeds, rooms, now));
  }

  private void logAndRestart(ItemTask task, Engine engine) {
    logger.atInfo().log(
        "item restarted id=%s engine=%s software=%s before=%s service=%s service_before=%s"
            + " waited_ms=%d last_event=%s",
        task.item().getId(),
        engine.id(),
        engine.softwareVersion(),
        task.engineSoftware(),
        engine.service(),
        task.engineService(),
        task.waitedMs(clock.now()),
        task.text().lastEventId());
    task.text().restart();
  }

  private void logContinuation(ItemTask task, Engine engine) {
    logger.atInfo().log(
        "item continues id=%s engine=%s before=%s events=%d remaining=%d ms_per_event=%.0f"
            + " before_ms_per_event=%.0f running=%d",
        task.item().getId(),
        engine.id(),
        task.engineId(),
        task.generatedEvents(),
        remainingEvents(task),
        loads.msPerEvent(engine.id()),
        loads.msPerEvent(task.engineId()),
        loads.runningRequests(engine.id()));
  }

  private void startAttempt(ItemTask task, Engine engine) {
    if (task.mustRestartAt(engine)) {
      logAndRestart(task, engine);
    }
    if (task.generatedEvents() > 0) {
      logContinuation(task, engine);
    }
    task.startAttempt(engine, clock.now());
    logger.atFine().log("item started id=%s engine=%s", task.item().getId(), engine.id());
    execute(task, () -> runner.run(task, engine), () -> loads.release(engine.id()));
  }
}
