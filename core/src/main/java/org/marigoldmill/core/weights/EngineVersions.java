package org.marigoldmill.core.weights;

import java.util.HashMap;
import java.util.Map;

/**
 * Which version of a model's weights each engine has, from its own word and from orders.
 *
 * <p>An engine's word is late by a heartbeat. So an order that it has accepted counts as carried
 * out once a load normally takes that long, unless the engine says otherwise later.
 */
public final class EngineVersions {
  /** Time that a load takes on an engine that runs nothing, in milliseconds. */
  public static final long TYPICAL_LOAD_MS = 900;

  /** Time after which an order that the engine's word does not show counts as lost. */
  public static final long ORDER_TIMEOUT_MS = 6_000;

  private record Place(String engine, String model) {}

  private record Order(long version, long at) {}

  private final Map<Place, Long> reportedVersions = new HashMap<>();
  private final Map<Place, Order> orders = new HashMap<>();

  /** Creates the table without any engine. */
  public EngineVersions() {}

  /** Notes a version that an engine has told, in a heartbeat or an answer. */
  public synchronized void recordReportedVersion(String engine, String model, long version) {
    reportedVersions.merge(new Place(engine, model), version, Math::max);
  }

  /** Notes that an engine has accepted an order. */
  public synchronized void recordOrder(String engine, String model, long version, long nowMs) {
    Place place = new Place(engine, model);
    Order known = orders.get(place);
    if (known == null || known.version() < version) {
      orders.put(place, new Order(version, nowMs));
    }
  }

  /** Returns the version that an engine has or is about to have. */
  public synchronized long targetVersion(String engine, String model, long nowMs) {
    Place place = new Place(engine, model);
    Order order = orders.get(place);
    long has = reportedVersions.getOrDefault(place, 0L);
    return order == null || lost(order, nowMs) ? has : Math.max(has, order.version());
  }

  /** Returns the version that a request sent now would probably run under. */
  public synchronized long expectedVersion(String engine, String model, long nowMs) {
    return loading(engine, model, nowMs)
        ? reportedVersions.getOrDefault(new Place(engine, model), 0L)
        : targetVersion(engine, model, nowMs);
  }

  /** Returns whether an engine is probably loading a model's weights. */
  public synchronized boolean loading(String engine, String model, long nowMs) {
    Place place = new Place(engine, model);
    Order order = orders.get(place);
    return order != null
        && order.version() > reportedVersions.getOrDefault(place, 0L)
        && nowMs - order.at() < TYPICAL_LOAD_MS;
  }

  /** Returns how many engines are probably loading. */
  public synchronized int loadingCount(long nowMs) {
    return (int)
        orders.keySet().stream().filter(p -> loading(p.engine(), p.model(), nowMs)).count();
  }

  /** Forgets an engine that is gone. */
  public synchronized void remove(String engine) {
    reportedVersions.keySet().removeIf(p -> p.engine().equals(engine));
    orders.keySet().removeIf(p -> p.engine().equals(engine));
  }

  private static boolean lost(Order order, long nowMs) {
    return nowMs - order.at() > ORDER_TIMEOUT_MS;
  }
}
