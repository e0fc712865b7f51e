package org.marigoldmill.server.duty;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.LoadQueue;
import org.marigoldmill.core.weights.WeightPlan;
import org.marigoldmill.http.CallFailure;
import org.marigoldmill.http.HttpAnswer;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.schema.fleet.OrderedWeights;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.deployment.UpstreamProtocol;

/** Orders new weights at engines while this instance is in charge. */
public final class WeightDuty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long SEND_LIMIT_MS = 400;
  private static final long CONNECT_MS = 150;
  private static final long RETRY_MS = 300;

  /** An engine's report lags, so it counts only this long after the last order there. */
  private static final long REPORT_LAG_MS = 700;

  private record Life(String engine, long incarnation) {}

  private final DutyLeaseHolder lease;
  private final EngineRegistry registry;
  private final EngineVersions versions;
  private final FleetLog fleet;
  private final UpstreamProtocol protocol;
  private final HttpClient client;
  private final LoadQueue loads;
  private final String instance;
  private final Clock clock;
  private final Map<Life, Long> ordersAccepted = new HashMap<>();
  private final Map<String, Long> pausedUntil = new HashMap<>();

  /** Creates the duty over its parts. */
  public WeightDuty(
      DutyLeaseHolder lease,
      EngineRegistry registry,
      EngineVersions versions,
      FleetLog fleet,
      UpstreamProtocol protocol,
      HttpClient client,
      LoadQueue loads,
      String instance,
      Clock clock) {
    this.lease = lease;
    this.registry = registry;
    this.versions = versions;
    this.fleet = fleet;
    this.protocol = protocol;
    this.client = client;
    this.loads = loads;
    this.instance = instance;
    this.clock = clock;
  }

  /** Gives the orders that may start; one round of a duty. */
  public void runRound() {
    if (!lease.holds(SEND_LIMIT_MS)) {
      return;
    }
    long now = clock.now();
    loads.startable(versions.loading(now), now).stream()
        .filter(l -> pausedUntil.getOrDefault(l.engine(), Long.MIN_VALUE) <= now)
        .forEach(this::order);
  }

  private void order(WeightPlan.Load order) {
    Engine engine = registry.engine(order.engine()).orElse(null);
    boolean has = versions.target(order.engine(), order.model(), clock.now()) >= order.version();
    if (engine == null || has || !lease.holds(SEND_LIMIT_MS)) {
      loads.done(order);
      return;
    }
    Optional<Long> known = expected(engine);
    if (known.isEmpty()) {
      pausedUntil.put(engine.id(), clock.now() + RETRY_MS);
      return;
    }
    long expected = known.get();
    final long epoch = lease.enter(SEND_LIMIT_MS);
    HttpCall call =
        protocol
            .orderCall(engine.address(), engine.id(), order, instance, epoch, expected)
            .timeouts(CONNECT_MS, SEND_LIMIT_MS, SEND_LIMIT_MS)
            .gatedBy(() -> lease.enter(CONNECT_MS));
    try {
      HttpAnswer answer = client.exchange(call);
      settle(engine, order, expected, epoch, protocol.orderAnswer(answer), answer.status());
    } catch (CallFailure e) {
      unsettled(engine);
      logger.atWarning().log(
          "weights order unanswered engine=%s model=%s version=%d epoch=%d expected=%d cause=%s",
          engine.id(), order.model(), order.version(), epoch, expected, e.getMessage());
    }
  }

  private void settle(
      Engine engine,
      WeightPlan.Load order,
      long expected,
      long epoch,
      UpstreamProtocol.OrderAnswer answer,
      int status) {
    logger.atInfo().log(
        "weights ordered engine=%s model=%s version=%d epoch=%d expected=%d answer=%s status=%d",
        engine.id(), order.model(), order.version(), epoch, expected, answer, status);
    switch (answer) {
      case ACCEPTED -> {
        ordersAccepted.put(life(engine), expected + 1);
        loads.done(order);
        versions.ordered(engine.id(), order.model(), order.version(), clock.now());
        fleet.ordered(
            OrderedWeights.newBuilder()
                .setEngine(engine.id())
                .setIncarnation(engine.incarnation())
                .setModel(order.model())
                .setVersion(order.version())
                .build());
      }
      case HOLDS -> versions.seen(engine.id(), order.model(), order.version());
      default -> unsettled(engine);
    }
  }

  /** Returns the orders that an engine has accepted in this life, if that is known. */
  private Optional<Long> expected(Engine engine) {
    Long counted = ordersAccepted.get(life(engine));
    if (counted != null) {
      return Optional.of(counted);
    }
    HttpCall call =
        protocol.report(engine.address()).timeouts(CONNECT_MS, SEND_LIMIT_MS, SEND_LIMIT_MS);
    try {
      Optional<UpstreamProtocol.EngineReport> report = protocol.report(client.exchange(call));
      logger.atInfo().log("engine reported engine=%s report=%s", engine.id(), report);
      report.ifPresent(
          r -> r.versions().forEach((model, v) -> versions.seen(engine.id(), model, v)));
      Optional<Long> told =
          report.filter(r -> !r.busy()).map(UpstreamProtocol.EngineReport::ordersAccepted);
      told.ifPresent(n -> ordersAccepted.put(life(engine), n));
      return told;
    } catch (CallFailure e) {
      logger.atInfo().log("engine not reached engine=%s cause=%s", engine.id(), e.getMessage());
      return Optional.empty();
    }
  }

  /** Asks the engine again before the next order, once its report shows the last one. */
  private void unsettled(Engine engine) {
    ordersAccepted.remove(life(engine));
    pausedUntil.put(engine.id(), clock.now() + REPORT_LAG_MS);
  }

  private static Life life(Engine engine) {
    return new Life(engine.id(), engine.incarnation());
  }
}
