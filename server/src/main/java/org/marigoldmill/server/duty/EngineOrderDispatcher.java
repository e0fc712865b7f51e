package org.marigoldmill.server.duty;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.route.DeploymentConfig.Autoscale;
import org.marigoldmill.core.supply.EngineDemandPlanner;
import org.marigoldmill.core.supply.EngineDemandPlanner.Answer;
import org.marigoldmill.core.supply.EngineOrder;
import org.marigoldmill.core.supply.EnginePool;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.DutyApi;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;

/**
 * Orders engines, and gives them back, while this instance holds the duty lease.
 *
 * <p>A number is published before it is ordered, so that a successor can repeat the order. Nothing
 * is decided while the engines or the orders may have changed unnoticed.
 */
public final class EngineOrderDispatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest time for which an order may be on its way; the lease must last as long. */
  private static final long SEND_TIMEOUT_MS = 700;

  private final DutyLeaseHolder lease;
  private final DeploymentState deployment;
  private final EngineRegistry registry;
  private final PartitionFollower engineFollower;
  private final EngineOrderLog log;
  private final DutyApi api;
  private final Metrics metrics;
  private final String instance;
  private final Clock clock;
  private final Map<String, EngineDemandPlanner> planners = new HashMap<>();
  private final Map<String, Map<EnginePool, EngineOrder>> publishedByService = new HashMap<>();
  private final Set<String> takenOver = new HashSet<>();

  /**
   * Creates a dispatcher.
   *
   * @param engineFollower reads the registrations of the engines
   * @param instance name of this instance, sent to the platform as the holder of the lease
   */
  public EngineOrderDispatcher(
      DutyLeaseHolder lease,
      DeploymentState deployment,
      EngineRegistry registry,
      PartitionFollower engineFollower,
      EngineOrderLog log,
      DutyApi api,
      Metrics metrics,
      String instance,
      Clock clock) {
    this.lease = lease;
    this.deployment = deployment;
    this.registry = registry;
    this.engineFollower = engineFollower;
    this.log = log;
    this.api = api;
    this.metrics = metrics;
    this.instance = instance;
    this.clock = clock;
  }

  /** Observes the engines, and sends the orders that are due; to be called periodically. */
  public synchronized void sendOrders() {
    if (!lease.remainsHeldFor(SEND_TIMEOUT_MS)) {
      takenOver.clear();
    }
    if (!engineFollower.ready() || engineFollower.overdueMs() > 0) {
      return;
    }
    deployment.config().map(DeploymentConfig::services).orElse(List.of()).stream()
        .filter(s -> !s.models().isEmpty())
        .forEach(s -> s.autoscale().ifPresent(scale -> sendOrders(s.name(), scale)));
  }

  private void sendOrders(String service, Autoscale scale) {
    EngineDemandPlanner planner = planners.computeIfAbsent(service, s -> new EngineDemandPlanner());
    long now = clock.now();
    planner.observe(engines(service), scale.startupMs(), now);
    if (!lease.remainsHeldFor(SEND_TIMEOUT_MS) || !takeOver(service, planner)) {
      return;
    }
    double needed = log.neededEngines(service);
    planner.plan(scale, needed, deployment.evacuatedZones(), now);
    for (String zone : planner.zones()) {
      metrics.recordEngines(service, zone, planner.wantedIn(zone), planner.servingIn(zone));
    }
    if (publish(service, planner.state())) {
      planner.due(now).forEach(o -> send(service, scale, planner, needed, o));
    }
  }

  /** Returns the engines of a service; those that must not be used count as about to leave. */
  private List<Engine> engines(String service) {
    Set<String> available =
        registry.availableEnginesOf(service).stream().map(Engine::id).collect(Collectors.toSet());
    return registry.enginesOf(service).stream()
        .map(e -> available.contains(e.id()) ? e : e.asDraining())
        .toList();
  }

  /** Takes over what earlier holders ordered; returns whether that is known. */
  private boolean takeOver(String service, EngineDemandPlanner planner) {
    if (takenOver.contains(service)) {
      return true;
    }
    if (!log.follower().catchUp()) {
      return false;
    }
    Map<EnginePool, EngineOrder> orders = log.orders(service);
    orders.values().forEach(o -> planner.adopt(o, clock.now()));
    publishedByService.put(service, new HashMap<>(orders));
    takenOver.add(service);
    logger.atInfo().log("engine orders taken over service=%s orders=%s", service, orders.values());
    return true;
  }

  /** Publishes the numbers that have changed; returns whether all are stored. */
  private boolean publish(String service, List<EngineOrder> state) {
    Map<EnginePool, EngineOrder> published = publishedByService.get(service);
    List<EngineOrder> changed =
        state.stream().filter(o -> !o.equals(published.get(o.pool()))).toList();
    if (changed.isEmpty()) {
      return true;
    }
    LogStore.AppendOutcome outcome = log.publishOrders(service, changed);
    if (outcome != LogStore.AppendOutcome.STORED) {
      logger.atInfo().log("engine orders not published service=%s outcome=%s", service, outcome);
      return false;
    }
    changed.forEach(o -> published.put(o.pool(), o));
    return true;
  }

  private void send(
      String service,
      Autoscale scale,
      EngineDemandPlanner planner,
      double needed,
      EngineOrder order) {
    if (!lease.remainsHeldFor(SEND_TIMEOUT_MS)) {
      return;
    }
    long epoch = lease.requireFencingToken(SEND_TIMEOUT_MS);
    Answer answer = api.orderEngines(instance, epoch, service, order);
    planner.recordAnswer(order, answer, scale.startupMs(), clock.now());
    metrics.recordEngineOrder(service, order.pool().zone(), answer.name());
    logger.atInfo().log(
        "engines ordered service=%s zone=%s reclaimable=%s desired=%d base=%d needed=%.2f"
            + " serving=%d epoch=%d answer=%s",
        service,
        order.pool().zone(),
        order.pool().reclaimable(),
        order.desired(),
        order.base(),
        needed,
        planner.servingEngines(),
        epoch,
        answer);
  }
}
