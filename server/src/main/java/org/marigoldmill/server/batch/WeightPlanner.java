package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.placement.EngineLoads;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.LoadAnnouncements;
import org.marigoldmill.core.weights.WeightPlan;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.batch.EngineAllocation.ServedModel;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.duty.FleetLog;
import org.marigoldmill.server.store.LogStore;

/** Requests new weights for the engines of the models that this instance owns. */
final class WeightPlanner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RolloutScheduler scheduler;
  private final RolloutMembership membership;
  private final ModelEngineAllocator allocator;
  private final EngineLoads loads;
  private final EngineVersions versions;
  private final DeploymentState deployment;
  private final FleetLog fleet;
  private final Clock clock;
  private final Map<ServedModel, LoadAnnouncements> announcements = new HashMap<>();

  WeightPlanner(
      RolloutScheduler scheduler,
      RolloutMembership membership,
      ModelEngineAllocator allocator,
      EngineLoads loads,
      EngineVersions versions,
      DeploymentState deployment,
      FleetLog fleet,
      Clock clock) {
    this.scheduler = scheduler;
    this.membership = membership;
    this.allocator = allocator;
    this.loads = loads;
    this.versions = versions;
    this.deployment = deployment;
    this.fleet = fleet;
    this.clock = clock;
  }

  /** Requests the loads that are wanted now; meant to be called periodically. */
  void requestWantedLoads() {
    announcements.keySet().removeIf(s -> !scheduler.active() || !membership.ownsModel(s.model()));
    if (!scheduler.active()) {
      return;
    }
    EngineAllocation allocation = allocator.allocation();
    Map<ServedModel, RolloutScheduler.Backlog> backlogs = scheduler.backlogs(allocation);
    allocation
        .engines()
        .forEach(
            (served, engines) -> {
              String model = served.model();
              if (membership.ownsModel(model) && deployment.announcedVersion(model) > 0) {
                RolloutScheduler.Backlog backlog =
                    backlogs.getOrDefault(served, RolloutScheduler.Backlog.NONE);
                publish(served, engines, requiredLoads(model, engines, backlog));
              }
            });
  }

  private List<WeightPlan.Load> requiredLoads(
      String model, List<Engine> engines, RolloutScheduler.Backlog backlog) {
    long now = clock.now();
    List<WeightPlan.EngineState> places =
        engines.stream()
            .map(
                e ->
                    new WeightPlan.EngineState(
                        e.id(),
                        versions.targetVersion(e.id(), model, now),
                        versions.loading(e.id(), model, now),
                        loads.runningRequests(e.id())))
            .toList();
    WeightPlan.Demand demand =
        new WeightPlan.Demand(
            model,
            deployment.announcedVersion(model),
            backlog.minVersion(),
            backlog.waitingItems(),
            backlog.singleVersion());
    return WeightPlan.requiredLoads(places, demand);
  }

  /** Publishes what has changed; a withdrawal for an engine that is gone is not needed. */
  private void publish(ServedModel served, List<Engine> engines, List<WeightPlan.Load> required) {
    long now = clock.now();
    LoadAnnouncements announced =
        announcements.computeIfAbsent(served, s -> new LoadAnnouncements());
    List<WeightPlan.Load> due = announced.due(required, now);
    Map<String, Long> incarnations =
        engines.stream().collect(Collectors.toMap(Engine::id, Engine::incarnation));
    List<FleetLog.WantedLoad> wanted =
        due.stream()
            .filter(l -> incarnations.containsKey(l.engine()))
            .map(l -> new FleetLog.WantedLoad(l, incarnations.get(l.engine())))
            .toList();
    if (wanted.isEmpty() || fleet.publishWantedLoads(wanted) == LogStore.AppendOutcome.STORED) {
      announced.recordPublished(due, now);
    }
    wanted.forEach(w -> logger.atInfo().log("load wanted %s", w.load()));
  }
}
