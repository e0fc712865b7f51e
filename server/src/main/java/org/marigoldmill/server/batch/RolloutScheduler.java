package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.stream.Collectors;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.placement.EngineLoads;
import org.marigoldmill.core.placement.MovePolicy;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.duty.FleetLog;

/** Starts the open items of the models that this instance generates for. */
public final class RolloutScheduler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MS = 40;
  private static final long MOVE_PAUSE_MS = 200;
  private static final Comparator<ItemTask> OLDEST_FIRST =
      Comparator.comparingLong((ItemTask t) -> t.submission().getAcceptedAtMs())
          .thenComparing(t -> t.submission().getId());

  /** The longest item ends a step, so it starts first. */
  private static final Comparator<ItemTask> START_ORDER =
      OLDEST_FIRST
          .thenComparing(Comparator.comparingLong(ItemTask::expectedTokens).reversed())
          .thenComparingInt(ItemTask::index);

  /**
   * What waits for the engines of a model.
   *
   * @param waiting items that wait for a place
   * @param strictest oldest version that each of them accepts; 0 when none waits
   * @param singleVersion whether one of them must not mix versions
   */
  record Backlog(int waiting, long strictest, boolean singleVersion) {}

  private final SubmissionPartitions partitions;
  private final RolloutMembership membership;
  private final ModelEngineAllocator shares;
  private final EngineLoads loads;
  private final EngineVersions versions;
  private final ItemRunner runner;
  private final Executor executor;
  private final FleetLog fleet;
  private final String zone;
  private final Clock clock;
  private final Map<String, ItemTask> tasks = new LinkedHashMap<>();
  private long reconciled = -1;
  private long movedAt;
  private volatile boolean stopping;

  /** Creates the scheduler; its tasks run on an executor. */
  RolloutScheduler(
      SubmissionPartitions partitions,
      RolloutMembership membership,
      ModelEngineAllocator shares,
      EngineLoads loads,
      EngineVersions versions,
      ItemRunner runner,
      Executor executor,
      FleetLog fleet,
      String zone,
      Clock clock) {
    this.partitions = partitions;
    this.membership = membership;
    this.shares = shares;
    this.loads = loads;
    this.versions = versions;
    this.runner = runner;
    this.executor = executor;
    this.fleet = fleet;
    this.zone = zone;
    this.clock = clock;
  }

  /** Starts what can start, and waits for a change; one round of a duty. */
  public void runRound() {
    long seen = partitions.changeCount();
    synchronized (this) {
      if (reconciled != seen) {
        reconcile();
        reconciled = seen;
      }
      start();
      move();
    }
    if (partitions.changeCount() == seen) {
      partitions.awaitChange(TICK_MS);
    }
  }

  /** Returns what waits for the engines of a model. */
  synchronized Backlog backlog(String model) {
    List<Submission> waiting =
        tasks.values().stream()
            .filter(t -> !t.running() && t.submission().getModel().equals(model))
            .map(ItemTask::submission)
            .toList();
    return new Backlog(
        waiting.size(),
        waiting.stream().mapToLong(Submission::getMinVersion).max().orElse(0),
        waiting.stream().anyMatch(Submission::getSingleVersion));
  }

  /**
   * Starts no more items, and goes on with those that have begun.
   *
   * @return the items that go on here
   */
  public synchronized List<String> startDraining() {
    stopping = true;
    return tasks.values().stream().filter(ItemTask::begun).map(ItemTask::key).toList();
  }

  /** Returns the attempts in progress. */
  public synchronized int runningAttempts() {
    return (int) tasks.values().stream().filter(ItemTask::running).count();
  }

  /** Cuts all attempts. */
  public synchronized void cancelAll() {
    tasks.values().forEach(ItemTask::cancel);
  }

  /** Takes on new items of this instance's models and drops those that want no result. */
  private void reconcile() {
    Set<String> wanted = new HashSet<>();
    for (Submission submission : partitions.openSubmissions()) {
      if (!stopping && !membership.ownsModel(submission.getModel())) {
        continue;
      }
      List<RolloutItem> items =
          partitions.replicaFor(submission.getId()).state().openItems(submission.getId());
      for (int i = 0; i < items.size(); i++) {
        RolloutItem item = items.get(i);
        String key = submission.getId() + "/" + item.getId();
        wanted.add(key);
        if (!stopping) {
          int index = i;
          tasks.computeIfAbsent(key, k -> new ItemTask(submission, item, index));
        }
      }
    }
    tasks
        .entrySet()
        .removeIf(
            e -> {
              boolean dropped = !wanted.contains(e.getKey());
              if (dropped) {
                e.getValue().cancel();
              }
              return dropped;
            });
  }

  private void start() {
    long now = clock.now();
    List<ItemTask> ready =
        tasks.values().stream().filter(t -> t.ready(now) && mine(t)).sorted(START_ORDER).toList();
    if (ready.isEmpty()) {
      return;
    }
    Map<String, List<Engine>> engines = shares.enginesByModel();
    for (ItemTask task : ready) {
      Submission submission = task.submission();
      List<Engine> suitable =
          engines.getOrDefault(submission.getModel(), List.of()).stream()
              .filter(e -> suits(e, submission, now))
              .toList();
      loads.acquire(suitable, zone, now).ifPresent(e -> launch(task, e));
    }
  }

  /** A stopping instance goes on with what it has begun, and others leave that to it. */
  private boolean mine(ItemTask task) {
    return stopping ? task.begun() : !fleet.keptElsewhere(task.key());
  }

  private boolean suits(Engine engine, Submission submission, long now) {
    String model = submission.getModel();
    return !versions.loading(engine.id(), model, now)
        && versions.version(engine.id(), model, now) >= submission.getMinVersion();
  }

  /** Lets runs of slow engines go on at faster ones, when nothing waits for those. */
  private void move() {
    long now = clock.now();
    if (now - movedAt < MOVE_PAUSE_MS) {
      return;
    }
    movedAt = now;
    Map<String, List<ItemTask>> byModel =
        tasks.values().stream()
            .filter(ItemTask::running)
            .collect(Collectors.groupingBy(t -> t.submission().getModel()));
    if (byModel.isEmpty()) {
      return;
    }
    Map<String, List<Engine>> engines = shares.enginesByModel();
    byModel.forEach(
        (model, running) -> {
          if (backlog(model).waiting() == 0) {
            move(model, running, engines.getOrDefault(model, List.of()), now);
          }
        });
  }

  private void move(String model, List<ItemTask> running, List<Engine> engines, long now) {
    long strictest =
        running.stream().mapToLong(t -> t.submission().getMinVersion()).max().orElse(0);
    List<MovePolicy.Room> rooms =
        engines.stream()
            .filter(e -> !versions.loading(e.id(), model, now))
            .filter(e -> versions.version(e.id(), model, now) >= strictest)
            .map(
                e ->
                    new MovePolicy.Room(
                        e.id(), loads.msPerEvent(e.id()), e.slots() - loads.running(e.id())))
            .toList();
    List<MovePolicy.Run> runs =
        running.stream()
            .map(
                t ->
                    new MovePolicy.Run(
                        t.item().getId(), t.engine(), t.startedAt(), t.expectedTokens()))
            .toList();
    Map<String, Double> speeds =
        running.stream()
            .map(ItemTask::engine)
            .distinct()
            .collect(Collectors.toMap(e -> e, loads::msPerEvent));
    Set<String> due = Set.copyOf(MovePolicy.due(runs, speeds, rooms, now));
    running.stream()
        .filter(t -> due.contains(t.item().getId()))
        .forEach(
            t -> {
              logger.atInfo().log(
                  "item moves id=%s engine=%s speeds=%s rooms=%s",
                  t.item().getId(), t.engine(), speeds, rooms);
              t.move();
            });
  }

  private void launch(ItemTask task, Engine engine) {
    task.started(engine.id(), clock.now());
    logger.atFine().log("item started id=%s engine=%s", task.item().getId(), engine.id());
    try {
      executor.execute(() -> runner.run(task, engine));
    } catch (RejectedExecutionException e) {
      loads.release(engine.id());
      task.paused(clock.now() + TICK_MS);
      logger.atWarning().log("item not started id=%s cause=no thread", task.item().getId());
    }
  }
}
