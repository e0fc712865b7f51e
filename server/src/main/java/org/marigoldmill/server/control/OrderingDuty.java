package org.marigoldmill.server.control;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marigoldmill.core.config.LogReducer;
import org.marigoldmill.core.lease.LeaseElector;
import org.marigoldmill.core.supply.OrderPlanner;
import org.marigoldmill.schema.declaration.Pool;
import org.marigoldmill.schema.log.IntentState;
import org.marigoldmill.schema.log.OrderIntent;
import org.marigoldmill.schema.log.OrderOutcome;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.platform.OrderReply;
import org.marigoldmill.schema.platform.OrderRequest;
import org.marigoldmill.schema.platform.PlacedOrder;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.platform.LogAppender;
import org.marigoldmill.server.platform.PlatformClient;
import org.marigoldmill.server.state.Instances;
import org.marigoldmill.server.state.SharedState;

/**
 * Orders upstreams for one zone while this process holds the zone's ordering lease.
 *
 * <p>An intent goes to the log first; its offset is the order's idempotency key, so an order whose
 * answer was lost is asked after and repeated under the same key.
 */
public final class OrderingDuty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long EXPECTED_FOR_MS = 30_000;
  private static final long APPEND_PAUSE_MS = 1_000;

  private final String zone;
  private final String process;
  private final long sendLimitMs;
  private final LeaseElector lease;
  private final SharedState state;
  private final Instances instances;
  private final PlatformClient platform;
  private final LogAppender appender;
  private final Clock clock;
  private final Map<String, Long> firstExpected = new HashMap<>();
  private final Map<Long, OrderOutcome> unsettled = new HashMap<>();
  private long lastAppendAt = Long.MIN_VALUE / 2;

  /** Creates the duty of a zone. */
  public OrderingDuty(
      String zone,
      String process,
      long sendLimitMs,
      LeaseElector lease,
      SharedState state,
      Instances instances,
      PlatformClient platform,
      LogAppender appender,
      Clock clock) {
    this.zone = zone;
    this.process = process;
    this.sendLimitMs = sendLimitMs;
    this.lease = lease;
    this.state = state;
    this.instances = instances;
    this.platform = platform;
    this.appender = appender;
    this.clock = clock;
  }

  /** Settles an open intent, or else appends the next one that a pool needs. */
  public void runRound() {
    if (lease.remainingMs(clock.now()) < sendLimitMs || !instances.isLoaded()) {
      return;
    }
    Snapshot now = state.snapshot();
    Optional<IntentState> open = OrderPlanner.openIntent(now, lease.scope());
    if (open.isPresent()) {
      settle(open.get());
      return;
    }
    unsettled.clear();
    state.config().declaration().getPoolsList().stream()
        .filter(p -> p.getZone().equals(zone))
        .flatMap(p -> missing(now, p).stream())
        .findFirst()
        .ifPresent(i -> intend(now, i));
  }

  private Optional<OrderIntent> missing(Snapshot now, Pool pool) {
    return OrderPlanner.nextOrder(now, pool, instances.all(), this::expected, pool.getMin());
  }

  /** An ordered upstream is awaited until it was listed once, or for a limited time. */
  private boolean expected(String upstream) {
    long since = firstExpected.computeIfAbsent(upstream, u -> clock.now());
    return !instances.everListed(upstream) && clock.now() - since < EXPECTED_FOR_MS;
  }

  private void intend(Snapshot now, OrderIntent missing) {
    if (clock.now() - lastAppendAt < APPEND_PAUSE_MS) {
      return;
    }
    lastAppendAt = clock.now();
    OrderIntent intent =
        missing.toBuilder()
            .setScope(lease.scope())
            .setEpoch(lease.epoch())
            .setObservedOffset(LogReducer.lastIntentOffset(now, lease.scope()))
            .build();
    logger.atInfo().log("orders %d of %s in %s", intent.getCount(), intent.getPool(), zone);
    appender.submit(appender.newRecord().setIntent(intent).build());
  }

  private void settle(IntentState open) {
    OrderOutcome outcome = unsettled.get(open.getOffset());
    if (outcome == null) {
      OrderReply reply = placed(open).orElseGet(() -> order(open));
      outcome =
          OrderOutcome.newBuilder()
              .setScope(lease.scope())
              .setEpoch(lease.epoch())
              .setIntentOffset(open.getOffset())
              .setAccepted(reply.getAccepted())
              .addAllUpstreams(reply.getUpstreamsList())
              .build();
      unsettled.put(open.getOffset(), outcome);
      lastAppendAt = Long.MIN_VALUE / 2;
    }
    if (clock.now() - lastAppendAt >= APPEND_PAUSE_MS) {
      lastAppendAt = clock.now();
      appender.submit(appender.newRecord().setOutcome(outcome).build());
    }
  }

  private Optional<OrderReply> placed(IntentState open) {
    return platform.orders().getOrdersList().stream()
        .filter(o -> o.getRequest().getIdempotencyKey().equals(key(open)))
        .map(PlacedOrder::getReply)
        .findFirst();
  }

  private OrderReply order(IntentState open) {
    OrderIntent intent = open.getIntent();
    OrderRequest request =
        OrderRequest.newBuilder()
            .setIdempotencyKey(key(open))
            .setProcess(process)
            .setScope(lease.scope())
            .setFencing(lease.requireHeld(clock.now(), sendLimitMs))
            .setPool(intent.getPool())
            .setZone(intent.getZone())
            .setCount(intent.getCount())
            .setReclaimable(intent.getReclaimable())
            .setReleaseUpstream(intent.getReleaseUpstream())
            .build();
    return platform.order(request, sendLimitMs, () -> lease.requireHeld(clock.now(), sendLimitMs));
  }

  private static String key(IntentState open) {
    return Long.toString(open.getOffset());
  }
}
