package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.supply.EngineNeed;
import org.marigoldmill.core.supply.SlotTimes;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.batch.EngineAllocation.ServedModel;
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
  private final SlotTimes slotTimes;
  private final DeploymentState deployment;
  private final EngineOrderLog orders;
  private final LongSupplier unixMs;
  private final Clock clock;
  private final Map<ServedModel, Published> published = new HashMap<>();

  /** Slots of an engine as last seen, for the time in which there is none. */
  private final Map<ServedModel, Double> slotsOfEngine = new HashMap<>();

  EngineNeedPublisher(
      RolloutScheduler scheduler,
      RolloutMembership membership,
      ModelEngineAllocator allocator,
      SlotTimes slotTimes,
      DeploymentState deployment,
      EngineOrderLog orders,
      LongSupplier unixMs,
      Clock clock) {
    this.scheduler = scheduler;
    this.membership = membership;
    this.allocator = allocator;
    this.slotTimes = slotTimes;
    this.deployment = deployment;
    this.orders = orders;
    this.unixMs = unixMs;
    this.clock = clock;
  }

  /** Publishes the needs that are due; meant to be called periodically. */
  void publishDue() {
    List<DeploymentConfig.Service> services =
        deployment.config().map(DeploymentConfig::services).orElse(List.of()).stream()
            .filter(s -> s.autoscale().isPresent())
            .toList();
    if (!scheduler.active() || services.isEmpty()) {
      return;
    }
    EngineAllocation engines = allocator.allocation();
    for (DeploymentConfig.Service service : services) {
      service
          .autoscale()
          .ifPresent(
              scale ->
                  service.models().stream()
                      .filter(membership::ownsModel)
                      .forEach(
                          m ->
                              publishIfDue(
                                  new ServedModel(service.name(), m), engines, scale.startupMs())));
    }
  }

  private void publishIfDue(ServedModel served, EngineAllocation allocation, long startupMs) {
    List<Engine> engines = allocation.of(served);
    engines.stream()
        .mapToInt(Engine::slots)
        .average()
        .ifPresent(slots -> slotsOfEngine.put(served, slots));
    double slots = slotsOfEngine.getOrDefault(served, 0.0);
    OptionalDouble msPerToken = slotTimes.msPerToken(served.model());
    if (slots <= 0 || msPerToken.isEmpty()) {
      return;
    }
    List<EngineNeed.Work> work =
        scheduler.openWork(served, allocation, msPerToken.getAsDouble(), unixMs.getAsLong());
    double needed = EngineNeed.engines(work, slots, startupMs);
    boolean late = needed > engines.size();
    long now = clock.now();
    Published last = published.get(served);
    boolean due = last == null || now - last.atMs() >= REPEAT_INTERVAL_MS || (late && !last.late());
    if (due && (late || orders.needsMatter(served.service()))) {
      orders.publishNeed(served.service(), served.model(), needed, late);
      published.put(served, new Published(late, now));
      if (late && (last == null || !last.late())) {
        logger.atInfo().log(
            "engines too few service=%s model=%s needed=%.2f allocated=%d slot_ms_per_token=%.3f",
            served.service(), served.model(), needed, engines.size(), msPerToken.getAsDouble());
      }
    }
  }
}
