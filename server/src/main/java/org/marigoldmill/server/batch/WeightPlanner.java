package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.placement.EngineLoads;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.WeightPlan;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.duty.FleetLog;

/** Requests new weights for the engines of the models that this instance owns. */
final class WeightPlanner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval after which a load that is still wanted is requested again, in milliseconds. */
  private static final long REPEAT_INTERVAL_MS = 250;

  private final RolloutScheduler scheduler;
  private final RolloutMembership membership;
  private final ModelEngineAllocator allocator;
  private final EngineLoads loads;
  private final EngineVersions versions;
  private final DeploymentState deployment;
  private final FleetLog fleet;
  private final Clock clock;
  private final Map<WeightPlan.Load, Long> requestedAtMs = new HashMap<>();

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
    long now = clock.now();
    requestedAtMs.values().removeIf(at -> now - at >= REPEAT_INTERVAL_MS);
    if (!scheduler.active()) {
      return;
    }
    allocator
        .enginesByModel()
        .forEach(
            (model, engines) -> {
              if (membership.ownsModel(model) && deployment.announcedVersion(model) > 0) {
                plan(model, engines, now);
              }
            });
  }

  private void plan(String model, List<Engine> engines, long now) {
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
    RolloutScheduler.Backlog backlog = scheduler.backlog(model);
    WeightPlan.Demand demand =
        new WeightPlan.Demand(
            model,
            deployment.announcedVersion(model),
            backlog.minVersion(),
            backlog.waitingItems(),
            backlog.singleVersion());
    WeightPlan.requiredLoads(places, demand).stream()
        .filter(l -> !requestedAtMs.containsKey(l))
        .forEach(l -> requestLoad(l, engines, demand, places, now));
  }

  private void requestLoad(
      WeightPlan.Load load,
      List<Engine> engines,
      WeightPlan.Demand demand,
      List<WeightPlan.EngineState> places,
      long now) {
    engines.stream()
        .filter(e -> e.id().equals(load.engine()))
        .findFirst()
        .ifPresent(
            e -> {
              requestedAtMs.put(load, now);
              logger.atInfo().log("load wanted %s demand=%s places=%s", load, demand, places);
              fleet.publishWantedLoad(load, e.incarnation());
            });
  }
}
