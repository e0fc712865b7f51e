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
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.placement.EngineLoads;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;

/** Starts the open items of the models that this instance generates for. */
public final class RolloutScheduler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MS = 40;
  private static final Comparator<ItemTask> OLDEST_FIRST =
      Comparator.comparingLong((ItemTask t) -> t.submission().getAcceptedAtMs())
          .thenComparing(t -> t.submission().getId())
          .thenComparingInt(ItemTask::index);

  private final Partitions partitions;
  private final RolloutMembership membership;
  private final ModelShares shares;
  private final EngineLoads loads;
  private final EngineVersions versions;
  private final ItemRunner runner;
  private final Executor executor;
  private final String zone;
  private final Clock clock;
  private final Map<String, ItemTask> tasks = new LinkedHashMap<>();
  private long reconciled = -1;
  private volatile boolean stopping;

  /** Creates the scheduler; its tasks run on an executor. */
  RolloutScheduler(
      Partitions partitions,
      RolloutMembership membership,
      ModelShares shares,
      EngineLoads loads,
      EngineVersions versions,
      ItemRunner runner,
      Executor executor,
      String zone,
      Clock clock) {
    this.partitions = partitions;
    this.membership = membership;
    this.shares = shares;
    this.loads = loads;
    this.versions = versions;
    this.runner = runner;
    this.executor = executor;
    this.zone = zone;
    this.clock = clock;
  }

  /** Starts what can start, and waits for a change; one round of a duty. */
  public void runRound() {
    long seen = partitions.changes();
    synchronized (this) {
      if (reconciled != seen) {
        reconcile();
        reconciled = seen;
      }
      if (!stopping) {
        start();
      }
    }
    if (partitions.changes() == seen) {
      partitions.awaitChange(TICK_MS);
    }
  }

  /** Starts no more attempts. */
  public void stopStarting() {
    stopping = true;
  }

  /** Returns the attempts in progress. */
  public synchronized int running() {
    return (int) tasks.values().stream().filter(ItemTask::running).count();
  }

  /** Cuts all attempts. */
  public synchronized void cancelAll() {
    tasks.values().forEach(ItemTask::cancel);
  }

  /** Takes on new items of this instance's models and drops those that want no result. */
  private void reconcile() {
    Set<String> wanted = new HashSet<>();
    for (Submission submission : partitions.open()) {
      if (!membership.owns(submission.getModel())) {
        continue;
      }
      List<RolloutItem> items =
          partitions.of(submission.getId()).state().openItems(submission.getId());
      for (int i = 0; i < items.size(); i++) {
        RolloutItem item = items.get(i);
        String key = submission.getId() + "/" + item.getId();
        wanted.add(key);
        int index = i;
        tasks.computeIfAbsent(key, k -> new ItemTask(submission, item, index));
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
        tasks.values().stream().filter(t -> t.ready(now)).sorted(OLDEST_FIRST).toList();
    if (ready.isEmpty()) {
      return;
    }
    Map<String, List<Engine>> engines = shares.current();
    for (ItemTask task : ready) {
      Submission submission = task.submission();
      List<Engine> suitable =
          engines.getOrDefault(submission.getModel(), List.of()).stream()
              .filter(e -> suits(e, submission, now))
              .toList();
      loads.acquire(suitable, zone, now).ifPresent(e -> start(task, e));
    }
  }

  private boolean suits(Engine engine, Submission submission, long now) {
    String model = submission.getModel();
    return !versions.loading(engine.id(), model, now)
        && versions.version(engine.id(), model, now) >= submission.getMinVersion();
  }

  private void start(ItemTask task, Engine engine) {
    task.started();
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
