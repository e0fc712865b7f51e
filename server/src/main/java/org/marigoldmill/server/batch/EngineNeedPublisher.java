package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.placement.EngineLoads;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.supply.EngineNeed;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.duty.EngineOrderLog;

/**
 * Publishes how many engines the models that this instance owns need.
 *
 * <p>Nothing is published while all models of a service have enough engines and none were ordered.
 */
final class EngineNeedPublisher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long REPEAT_INTERVAL_MS = 1_000;

  private record Published(boolean late, long atMs) {}

  private final RolloutScheduler scheduler;
  private final RolloutMembership membership;
  private final ModelEngineAllocator allocator;
  private final EngineLoads loads;
  private final DeploymentState deployment;
  private final EngineOrderLog orders;
  private final LongSupplier unixMs;
  private final Clock clock;
  private final Map<String, Published> publishedByModel = new HashMap<>();

  EngineNeedPublisher(
      RolloutScheduler scheduler,
      RolloutMembership membership,
      ModelEngineAllocator allocator,
      EngineLoads loads,
      DeploymentState deployment,
      EngineOrderLog orders,
      LongSupplier unixMs,
      Clock clock) {
    this.scheduler = scheduler;
    this.membership = membership;
    this.allocator = allocator;
    this.loads = loads;
    this.deployment = deployment;
    this.orders = orders;
    this.unixMs = unixMs;
    this.clock = clock;
  }

  /** Publishes the needs that are due; meant to be called periodically. */
  void publishDue() {
    if (!scheduler.active()) {
      return;
    }
    Map<String, List<Engine>> engines = allocator.enginesByModel();
    for (DeploymentConfig.Service service :
        deployment.config().map(DeploymentConfig::services).orElse(List.of())) {
      service
          .autoscale()
          .ifPresent(
              scale ->
                  service.models().stream()
                      .filter(membership::ownsModel)
                      .forEach(
                          m ->
                              publishIfDue(
                                  service.name(),
                                  m,
                                  engines.getOrDefault(m, List.of()),
                                  scale.startupMs())));
    }
  }

  private void publishIfDue(String service, String model, List<Engine> engines, long startupMs) {
    OptionalDouble eventsPerMs =
        engines.stream()
            .filter(e -> loads.msPerEvent(e.id()) > 0)
            .mapToDouble(e -> e.slots() / loads.msPerEvent(e.id()))
            .average();
    if (eventsPerMs.isEmpty()) {
      return;
    }
    List<EngineNeed.Work> work = scheduler.openWork(model, unixMs.getAsLong());
    double needed = EngineNeed.engines(work, eventsPerMs.getAsDouble(), startupMs);
    boolean late = needed > engines.size();
    long now = clock.now();
    Published last = publishedByModel.get(model);
    boolean due = last == null || now - last.atMs() >= REPEAT_INTERVAL_MS || (late && !last.late());
    if (due && (late || orders.needsMatter(service))) {
      orders.publishNeed(service, model, needed, late);
      publishedByModel.put(model, new Published(late, now));
      if (late && (last == null || !last.late())) {
        logger.atInfo().log(
            "engines too few service=%s model=%s needed=%.2f allocated=%d events_per_ms=%.3f",
            service, model, needed, engines.size(), eventsPerMs.getAsDouble());
      }
    }
  }
}
