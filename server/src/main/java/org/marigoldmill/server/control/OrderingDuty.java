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
 * Orders upstreams for a zone while this process holds the zone's ordering lease.
 *
 * <p>An intent is appended to the log before the order is placed. The offset of the intent is the
 * idempotency key of the order: an order whose reply was lost is looked up, and placed again under
 * the same key if it is not found.
 */
public final class OrderingDuty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long LISTING_TIMEOUT_MS = 30_000;
  private static final long APPEND_INTERVAL_MS = 1_000;

  private final String zone;
  private final String process;
  private final long sendLimitMs;
  private final LeaseElector lease;
  private final SharedState state;
  private final Instances instances;
  private final PlatformClient platform;
  private final LogAppender appender;
  private final Clock clock;
  private final Map<String, Long> awaitedSinceMs = new HashMap<>();
  private final Map<Long, OrderOutcome> unconfirmedOutcomes = new HashMap<>();
  private long lastAppendAtMs = Long.MIN_VALUE / 2;

  /**
   * Creates the task for a zone.
   *
   * @param process name under which this process orders
   * @param sendLimitMs timeout of an order, and the least remaining time of the lease to place one,
   *     in milliseconds
   * @param lease lease that allows ordering
   */
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

  /** Places the order of an open intent; if there is none, appends the next that a pool needs. */
  public void advanceOrders() {
    if (lease.remainingMs(clock.now()) < sendLimitMs || !instances.isLoaded()) {
      return;
    }
    Snapshot snapshot = state.snapshot();
    Optional<IntentState> open = OrderPlanner.openIntent(snapshot, lease.scope());
    if (open.isPresent()) {
      settle(open.get());
      return;
    }
    unconfirmedOutcomes.clear();
    state.config().declaration().getPoolsList().stream()
        .filter(p -> p.getZone().equals(zone))
        .flatMap(p -> nextIntent(snapshot, p).stream())
        .findFirst()
        .ifPresent(i -> appendIntent(snapshot, i));
  }

  private Optional<OrderIntent> nextIntent(Snapshot snapshot, Pool pool) {
    return OrderPlanner.nextOrder(
        snapshot, pool, instances.all(), this::isAwaitingListing, pool.getMin());
  }

  /**
   * Returns whether an ordered upstream was never listed and its listing timeout has not passed.
   */
  private boolean isAwaitingListing(String upstream) {
    long sinceMs = awaitedSinceMs.computeIfAbsent(upstream, u -> clock.now());
    return !instances.everListed(upstream) && clock.now() - sinceMs < LISTING_TIMEOUT_MS;
  }

  private void appendIntent(Snapshot snapshot, OrderIntent draft) {
    if (clock.now() - lastAppendAtMs < APPEND_INTERVAL_MS) {
      return;
    }
    lastAppendAtMs = clock.now();
    OrderIntent intent =
        draft.toBuilder()
            .setScope(lease.scope())
            .setEpoch(lease.epoch())
            .setObservedOffset(LogReducer.lastIntentOffset(snapshot, lease.scope()))
            .build();
    logger.atInfo().log(
        "appending an intent to order %d upstreams of pool %s in zone %s",
        intent.getCount(), intent.getPool(), zone);
    appender.submit(appender.newRecord().setIntent(intent).build());
  }

  private void settle(IntentState intent) {
    OrderOutcome outcome = unconfirmedOutcomes.get(intent.getOffset());
    if (outcome == null) {
      OrderReply reply = findPlacedOrder(intent).orElseGet(() -> placeOrder(intent));
      outcome =
          OrderOutcome.newBuilder()
              .setScope(lease.scope())
              .setEpoch(lease.epoch())
              .setIntentOffset(intent.getOffset())
              .setAccepted(reply.getAccepted())
              .addAllUpstreams(reply.getUpstreamsList())
              .build();
      unconfirmedOutcomes.put(intent.getOffset(), outcome);
      lastAppendAtMs = Long.MIN_VALUE / 2;
    }
    if (clock.now() - lastAppendAtMs >= APPEND_INTERVAL_MS) {
      lastAppendAtMs = clock.now();
      appender.submit(appender.newRecord().setOutcome(outcome).build());
    }
  }

  private Optional<OrderReply> findPlacedOrder(IntentState intent) {
    return platform.orders().getOrdersList().stream()
        .filter(o -> o.getRequest().getIdempotencyKey().equals(idempotencyKey(intent)))
        .map(PlacedOrder::getReply)
        .findFirst();
  }

  private OrderReply placeOrder(IntentState openIntent) {
    OrderIntent intent = openIntent.getIntent();
    OrderRequest request =
        OrderRequest.newBuilder()
            .setIdempotencyKey(idempotencyKey(openIntent))
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

  private static String idempotencyKey(IntentState intent) {
    return Long.toString(intent.getOffset());
  }
}
