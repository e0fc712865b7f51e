package org.marigoldmill.server.duty;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.LoadQueue;
import org.marigoldmill.core.weights.WeightPlan;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.schema.fleet.OrderedWeights;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.deployment.UpstreamProtocol;
import org.marigoldmill.server.gateway.AnswerObserver;

/** Orders engines to load weights while this instance holds the duty lease. */
public final class WeightOrderDispatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long SEND_TIMEOUT_MS = 400;
  private static final long CONNECT_TIMEOUT_MS = 150;
  private static final long RETRY_DELAY_MS = 300;

  /** Reports of an engine lag behind by up to this time after an order. */
  private static final long REPORT_LAG_MS = 700;

  private record EngineIncarnation(String engine, long incarnation) {}

  private final DutyLeaseHolder lease;
  private final EngineRegistry registry;
  private final EngineVersions versions;
  private final FleetLog fleet;
  private final UpstreamProtocol protocol;
  private final HttpClient client;
  private final AnswerObserver answers;
  private final EngineLimits limits;
  private final LoadQueue loads;
  private final String instance;
  private final Clock clock;
  private final Map<EngineIncarnation, Long> ordersAccepted = new HashMap<>();
  private final Map<String, Long> pausedUntilMs = new HashMap<>();

  /**
   * Creates a dispatcher.
   *
   * @param loads requested loads, from which orders are made
   * @param instance name of this instance, sent to engines as the holder of the lease
   */
  public WeightOrderDispatcher(
      DutyLeaseHolder lease,
      EngineRegistry registry,
      EngineVersions versions,
      FleetLog fleet,
      UpstreamProtocol protocol,
      HttpClient client,
      AnswerObserver answers,
      EngineLimits limits,
      LoadQueue loads,
      String instance,
      Clock clock) {
    this.lease = lease;
    this.registry = registry;
    this.versions = versions;
    this.fleet = fleet;
    this.protocol = protocol;
    this.client = client;
    this.answers = answers;
    this.limits = limits;
    this.loads = loads;
    this.instance = instance;
    this.clock = clock;
  }

  /** Sends an order for each requested load that may start; to be called periodically. */
  public void sendOrders() {
    if (!lease.remainsHeldFor(SEND_TIMEOUT_MS)) {
      return;
    }
    long now = clock.now();
    loads.startable(versions.loadingCount(now), registry.modelEngineCount(), now).stream()
        .filter(l -> pausedUntilMs.getOrDefault(l.engine(), Long.MIN_VALUE) <= now)
        .forEach(this::sendOrder);
  }

  private void sendOrder(WeightPlan.Load order) {
    // Its owner requests the load again once the zone of an evacuated engine is taken back.
    Engine engine =
        registry.engine(order.engine()).filter(e -> !registry.isEvacuated(e)).orElse(null);
    boolean upToDate =
        versions.targetVersion(order.engine(), order.model(), clock.now()) >= order.version();
    if (engine == null || upToDate || !lease.remainsHeldFor(SEND_TIMEOUT_MS)) {
      loads.remove(order);
      return;
    }
    Optional<Long> expectedOrders = expectedOrders(engine);
    if (expectedOrders.isEmpty()) {
      pausedUntilMs.put(engine.id(), clock.now() + RETRY_DELAY_MS);
      return;
    }
    long expectedCount = expectedOrders.get();
    final long epoch = lease.requireFencingToken(SEND_TIMEOUT_MS);
    HttpCall call =
        protocol
            .orderCall(engine.address(), engine.id(), order, instance, epoch, expectedCount)
            .timeouts(CONNECT_TIMEOUT_MS, SEND_TIMEOUT_MS, SEND_TIMEOUT_MS)
            .gate(() -> lease.requireFencingToken(CONNECT_TIMEOUT_MS));
    try {
      HttpResponse response = exchange(engine, call);
      applyAnswer(
          engine, order, expectedCount, epoch, protocol.orderAnswer(response), response.status());
    } catch (HttpCallException e) {
      deferOrders(engine);
      logger.atWarning().log(
          "weights order not answered engine=%s model=%s version=%d epoch=%d expected=%d cause=%s",
          engine.id(), order.model(), order.version(), epoch, expectedCount, e.getMessage());
    }
  }

  private void applyAnswer(
      Engine engine,
      WeightPlan.Load order,
      long expectedCount,
      long epoch,
      UpstreamProtocol.OrderAnswer answer,
      int status) {
    logger.atInfo().log(
        "weights ordered engine=%s model=%s version=%d epoch=%d expected=%d answer=%s status=%d",
        engine.id(), order.model(), order.version(), epoch, expectedCount, answer, status);
    switch (answer) {
      case ACCEPTED -> {
        ordersAccepted.put(incarnation(engine), expectedCount + 1);
        loads.remove(order);
        versions.recordOrder(engine.id(), order.model(), order.version(), clock.now());
        fleet.publishOrder(
            OrderedWeights.newBuilder()
                .setEngine(engine.id())
                .setIncarnation(engine.incarnation())
                .setModel(order.model())
                .setVersion(order.version())
                .build());
      }
      case HOLDS -> versions.recordReportedVersion(engine.id(), order.model(), order.version());
      default -> deferOrders(engine);
    }
  }

  /** Returns the number of orders that this engine incarnation has accepted, if known. */
  private Optional<Long> expectedOrders(Engine engine) {
    Long cached = ordersAccepted.get(incarnation(engine));
    if (cached != null) {
      return Optional.of(cached);
    }
    HttpCall call =
        protocol
            .report(engine.address())
            .timeouts(CONNECT_TIMEOUT_MS, SEND_TIMEOUT_MS, SEND_TIMEOUT_MS);
    try {
      Optional<UpstreamProtocol.EngineReport> report = protocol.report(exchange(engine, call));
      logger.atInfo().log("engine report received engine=%s report=%s", engine.id(), report);
      report.ifPresent(
          r ->
              r.versions()
                  .forEach((model, v) -> versions.recordReportedVersion(engine.id(), model, v)));
      Optional<Long> reported =
          report.filter(r -> !r.busy()).map(UpstreamProtocol.EngineReport::ordersAccepted);
      reported.ifPresent(n -> ordersAccepted.put(incarnation(engine), n));
      return reported;
    } catch (HttpCallException e) {
      logger.atInfo().log(
          "engine report not received engine=%s cause=%s", engine.id(), e.getMessage());
      return Optional.empty();
    }
  }

  /** Sends without delay, but takes a turn, so that other requests make room. */
  private HttpResponse exchange(Engine engine, HttpCall call) {
    limits.acquireAhead(engine.id(), Urgency.BACKGROUND, clock.now());
    answers.recordSent(engine.id(), engine.incarnation());
    HttpResponse response = client.exchange(call);
    answers.recordAnswer(engine.id(), engine.incarnation(), response.headers());
    return response;
  }

  /** Requires a fresh report before the next order, once it must reflect the last one. */
  private void deferOrders(Engine engine) {
    ordersAccepted.remove(incarnation(engine));
    pausedUntilMs.put(engine.id(), clock.now() + REPORT_LAG_MS);
  }

  private static EngineIncarnation incarnation(Engine engine) {
    return new EngineIncarnation(engine.id(), engine.incarnation());
  }
}
