package org.marigoldmill.core.weights;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the version of a model's weights on each engine, from heartbeats and from orders.
 *
 * <p>A reported version is up to one heartbeat old. Therefore an accepted order to load weights is
 * assumed to be done after the typical time of a load. It is assumed to be lost if the engine does
 * not report the version within {@link #ORDER_TIMEOUT_MS}.
 */
public final class EngineVersions {
  /** Typical time of a load on an idle engine, in milliseconds. */
  public static final long TYPICAL_LOAD_MS = 900;

  /** Time after which an order whose version is not reported counts as lost, in milliseconds. */
  public static final long ORDER_TIMEOUT_MS = 6_000;

  private record EngineModel(String engine, String model) {}

  private record Order(long version, long acceptedAtMs) {}

  private final Map<EngineModel, Long> reportedVersions = new HashMap<>();
  private final Map<EngineModel, Order> orders = new HashMap<>();

  /** Creates an empty table. */
  public EngineVersions() {}

  /**
   * Records a version that an engine has reported in a heartbeat or a response; older ones are
   * ignored.
   */
  public synchronized void recordReportedVersion(String engine, String model, long version) {
    reportedVersions.merge(new EngineModel(engine, model), version, Math::max);
  }

  /**
   * Records that an engine has accepted an order to load weights.
   *
   * @param engine id of the engine
   * @param model name of the model
   * @param version ordered version; ignored unless newer than the version ordered before
   * @param nowMs current time, in milliseconds
   */
  public synchronized void recordOrder(String engine, String model, long version, long nowMs) {
    EngineModel key = new EngineModel(engine, model);
    Order previous = orders.get(key);
    if (previous == null || previous.version() < version) {
      orders.put(key, new Order(version, nowMs));
    }
  }

  /** Returns the version that an engine has or is expected to have after its current load. */
  public synchronized long targetVersion(String engine, String model, long nowMs) {
    EngineModel key = new EngineModel(engine, model);
    Order order = orders.get(key);
    long reported = reportedVersions.getOrDefault(key, 0L);
    return order == null || orderTimedOut(order, nowMs)
        ? reported
        : Math.max(reported, order.version());
  }

  /** Returns the version that a request sent now is expected to run with. */
  public synchronized long expectedVersion(String engine, String model, long nowMs) {
    return loading(engine, model, nowMs)
        ? reportedVersions.getOrDefault(new EngineModel(engine, model), 0L)
        : targetVersion(engine, model, nowMs);
  }

  /** Returns whether an engine is expected to be loading a model's weights. */
  public synchronized boolean loading(String engine, String model, long nowMs) {
    EngineModel key = new EngineModel(engine, model);
    Order order = orders.get(key);
    return order != null
        && order.version() > reportedVersions.getOrDefault(key, 0L)
        && nowMs - order.acceptedAtMs() < TYPICAL_LOAD_MS;
  }

  /** Returns the number of loads that are expected to be in progress. */
  public synchronized int loadingCount(long nowMs) {
    return (int)
        orders.keySet().stream().filter(p -> loading(p.engine(), p.model(), nowMs)).count();
  }

  /** Removes an engine. */
  public synchronized void remove(String engine) {
    reportedVersions.keySet().removeIf(p -> p.engine().equals(engine));
    orders.keySet().removeIf(p -> p.engine().equals(engine));
  }

  private static boolean orderTimedOut(Order order, long nowMs) {
    return nowMs - order.acceptedAtMs() > ORDER_TIMEOUT_MS;
  }
}
