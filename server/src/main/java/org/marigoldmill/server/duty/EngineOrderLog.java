package org.marigoldmill.server.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.core.supply.EngineOrder;
import org.marigoldmill.core.supply.EnginePool;
import org.marigoldmill.schema.fleet.NeededEngines;
import org.marigoldmill.schema.fleet.OrderedEngines;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;
import org.marigoldmill.server.store.Topic;

/**
 * Log of the engines that models need and of those that were ordered.
 *
 * <p>It is keyed, so that a later holder of the duty knows the numbers however long ago they were
 * ordered, and apart from the {@link FleetLog}, so that only instances that schedule items or hold
 * the duty lease read it.
 */
public final class EngineOrderLog implements PartitionFollower.Sink {
  /** Topic that stores the log. */
  public static final Topic TOPIC = new Topic("engine-orders", true);

  /** Age above which the need of a model is not taken into account any more. */
  static final long MAX_NEED_AGE_MS = 3_000;

  private static final long READ_WAIT_MS = 2_000;
  private static final long READ_PAUSE_MS = 50;
  private static final String NEED_PREFIX = "need/";
  private static final String ORDER_PREFIX = "order/";

  private record Need(double engines, boolean late, long readAtMs) {}

  private final LogStore store;
  private final Clock clock;
  private final PartitionFollower follower;
  private final Map<String, Map<String, Need>> needsByService = new HashMap<>();
  private final Map<String, Map<EnginePool, EngineOrder>> ordersByService = new HashMap<>();

  /** Creates the log of one instance. */
  public EngineOrderLog(LogStore store, Clock clock) {
    this.store = store;
    this.clock = clock;
    this.follower =
        new PartitionFollower(store, TOPIC, 0, READ_WAIT_MS, READ_PAUSE_MS, this, clock);
  }

  /** Returns the follower that reads the topic. */
  public PartitionFollower follower() {
    return follower;
  }

  /**
   * Publishes how many engines the open items of a model need.
   *
   * @param late whether the engines that the model has are too few
   */
  public LogStore.AppendOutcome publishNeed(
      String service, String model, double engines, boolean late) {
    NeededEngines need =
        NeededEngines.newBuilder()
            .setService(service)
            .setModel(model)
            .setMilliEngines(Math.round(1e3 * engines))
            .setLate(late)
            .build();
    return append(List.of(record(NEED_PREFIX + service + "/" + model, need.toByteArray())));
  }

  /** Publishes the numbers of engines that are wanted from now on, before they are ordered. */
  LogStore.AppendOutcome publishOrders(String service, List<EngineOrder> orders) {
    return append(orders.stream().map(o -> toRecord(service, o)).toList());
  }

  /** Returns the number of engines that the models of a service need, as known at present. */
  synchronized double neededEngines(String service) {
    return needsByService.getOrDefault(service, Map.of()).values().stream()
        .filter(this::isCurrent)
        .mapToDouble(Need::engines)
        .sum();
  }

  /** Returns whether the needs of all models of a service count for a decision on its engines. */
  public synchronized boolean needsMatter(String service) {
    boolean anyLate =
        needsByService.getOrDefault(service, Map.of()).values().stream()
            .anyMatch(n -> n.late() && isCurrent(n));
    return anyLate
        || ordersByService.getOrDefault(service, Map.of()).values().stream()
            .anyMatch(o -> o.desired() > o.base());
  }

  /** Returns the last published numbers for a service. */
  synchronized Map<EnginePool, EngineOrder> orders(String service) {
    return Map.copyOf(ordersByService.getOrDefault(service, Map.of()));
  }

  @Override
  public synchronized void reset() {
    needsByService.clear();
    ordersByService.clear();
  }

  /** Forgets all needs, because the age of those that were stored earlier is unknown. */
  @Override
  public synchronized void load(Runnable replay) {
    PartitionFollower.Sink.super.load(replay);
    needsByService.clear();
  }

  @Override
  public synchronized void apply(StoredRecord stored) {
    if (stored.value().isEmpty()) {
      return;
    }
    try {
      if (stored.key().startsWith(NEED_PREFIX)) {
        NeededEngines need = NeededEngines.parseFrom(stored.value().get());
        needsByService
            .computeIfAbsent(need.getService(), s -> new HashMap<>())
            .put(
                need.getModel(),
                new Need(need.getMilliEngines() / 1e3, need.getLate(), clock.now()));
      } else if (stored.key().startsWith(ORDER_PREFIX)) {
        OrderedEngines ordered = OrderedEngines.parseFrom(stored.value().get());
        EngineOrder order = toOrder(ordered);
        ordersByService
            .computeIfAbsent(ordered.getService(), s -> new HashMap<>())
            .put(order.pool(), order);
      }
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("malformed engine order: " + e.getMessage(), e);
    }
  }

  private boolean isCurrent(Need need) {
    return clock.now() - need.readAtMs() <= MAX_NEED_AGE_MS;
  }

  private LogStore.AppendOutcome append(List<KeyedRecord> records) {
    return store.append(TOPIC, 0, OptionalLong.empty(), records).outcome();
  }

  private static KeyedRecord toRecord(String service, EngineOrder order) {
    EnginePool pool = order.pool();
    OrderedEngines ordered =
        OrderedEngines.newBuilder()
            .setService(service)
            .setZone(pool.zone())
            .setReclaimable(pool.reclaimable())
            .setDesired(order.desired())
            .setBase(order.base())
            .setMost(order.most())
            .build();
    String kind = pool.reclaimable() ? "reclaimable" : "lasting";
    return record(ORDER_PREFIX + service + "/" + pool.zone() + "/" + kind, ordered.toByteArray());
  }

  private static EngineOrder toOrder(OrderedEngines ordered) {
    return new EngineOrder(
        new EnginePool(ordered.getZone(), ordered.getReclaimable()),
        (int) ordered.getDesired(),
        (int) ordered.getBase(),
        (int) ordered.getMost());
  }

  private static KeyedRecord record(String key, byte[] value) {
    return new KeyedRecord(key, Optional.of(value));
  }
}
