package org.marigoldmill.core.weights;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of the loads of weights that instances request, with a limit on concurrent loads.
 *
 * <p>A request expires after {@link #REQUEST_TTL_MS} unless it is repeated. The number of
 * concurrent loads is limited because they slow each other down.
 */
public final class LoadQueue {
  /** Time after which a request expires, in milliseconds. */
  public static final long REQUEST_TTL_MS = 500;

  private record Request(WeightPlan.Load load, long receivedAtMs) {}

  private final int parallelLoads;
  private final Map<String, Request> requests = new LinkedHashMap<>();

  /**
   * Creates an empty queue.
   *
   * @param parallelLoads maximum number of concurrent loads, at least 1
   */
  public LoadQueue(int parallelLoads) {
    this.parallelLoads = parallelLoads;
  }

  /** Adds a request for a load, replacing an earlier one for the same engine and model. */
  public synchronized void request(WeightPlan.Load load, long nowMs) {
    requests.put(load.engine() + "/" + load.model(), new Request(load, nowMs));
  }

  /**
   * Returns the loads that may start, urgent ones first, otherwise in the order of their requests.
   *
   * @param loading number of loads in progress
   * @param nowMs current time, in milliseconds
   */
  public synchronized List<WeightPlan.Load> startable(int loading, long nowMs) {
    requests.values().removeIf(r -> nowMs - r.receivedAtMs() > REQUEST_TTL_MS);
    Comparator<Request> urgentFirst = Comparator.comparing(r -> !r.load().urgent());
    return requests.values().stream()
        .sorted(urgentFirst)
        .limit(Math.max(0, parallelLoads - loading))
        .map(Request::load)
        .toList();
  }

  /** Removes the request for a load that an engine has accepted or no longer needs. */
  public synchronized void remove(WeightPlan.Load load) {
    requests.remove(load.engine() + "/" + load.model());
  }
}
