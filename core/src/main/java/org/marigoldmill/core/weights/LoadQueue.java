package org.marigoldmill.core.weights;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;

/**
 * Queue of the loads of weights that instances request, with a limit on concurrent loads.
 *
 * <p>A request expires after {@link #REQUEST_TTL_MS} unless it is repeated, or when it is
 * withdrawn. The number of concurrent loads is limited because they slow each other down. The limit
 * grows with the number of engines, so that the time in which all engines get new weights does not.
 */
public final class LoadQueue {
  /** Time after which a request expires, in milliseconds; several intervals of its repetition. */
  public static final long REQUEST_TTL_MS = 3 * LoadAnnouncements.REPEAT_INTERVAL_MS;

  /** One in this many engines may load at a time, so that most of them go on generating. */
  private static final int ENGINES_PER_LOAD = 4;

  private record Request(WeightPlan.Load load, long receivedAtMs) {}

  private final IntUnaryOperator limit;
  private final Map<String, Request> requests = new LinkedHashMap<>();

  /**
   * Creates an empty queue.
   *
   * @param limit returns the largest number of concurrent loads for a number of engines
   */
  public LoadQueue(IntUnaryOperator limit) {
    this.limit = limit;
  }

  /**
   * Returns a limit that grows with the number of engines, so that the time in which all of them
   * get new weights does not.
   *
   * @param min number of concurrent loads that is always allowed, at least 1
   */
  public static IntUnaryOperator shareOfEngines(int min) {
    return engines -> Math.max(min, engines / ENGINES_PER_LOAD);
  }

  /**
   * Adds a request for a load, replacing an earlier one for the same engine and model, or withdraws
   * that one.
   */
  public synchronized void request(WeightPlan.Load load, long nowMs) {
    if (load.isWithdrawal()) {
      remove(load);
    } else {
      requests.put(key(load), new Request(load, nowMs));
    }
  }

  /**
   * Returns the loads that may start, urgent ones first, otherwise in the order of their requests.
   *
   * @param loading number of loads in progress
   * @param engines number of engines that serve models
   * @param nowMs current time, in milliseconds
   */
  public synchronized List<WeightPlan.Load> startable(int loading, int engines, long nowMs) {
    requests.values().removeIf(r -> nowMs - r.receivedAtMs() > REQUEST_TTL_MS);
    Comparator<Request> urgentFirst = Comparator.comparing(r -> !r.load().urgent());
    return requests.values().stream()
        .sorted(urgentFirst)
        .limit(Math.max(0, limit.applyAsInt(engines) - loading))
        .map(Request::load)
        .toList();
  }

  /** Removes the request for a load that an engine has accepted or no longer needs. */
  public synchronized void remove(WeightPlan.Load load) {
    requests.remove(key(load));
  }

  private static String key(WeightPlan.Load load) {
    return load.engine() + "/" + load.model();
  }
}
