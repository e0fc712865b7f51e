package org.marigoldmill.core.weights;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Loads that instances want, and which of them may start.
 *
 * <p>A wish holds only for a short time; who still wants it tells so again. At most a few engines
 * load at a time, since loads slow each other.
 */
public final class LoadQueue {
  /** Time for which a wish holds, in milliseconds. */
  public static final long REQUEST_TTL_MS = 500;

  private record Wish(WeightPlan.Load load, long at) {}

  private final int parallelLoads;
  private final Map<String, Wish> wishes = new LinkedHashMap<>();

  /**
   * Creates an empty queue.
   *
   * @param parallelLoads engines that may load at the same time, at least 1
   */
  public LoadQueue(int parallelLoads) {
    this.parallelLoads = parallelLoads;
  }

  /** Takes in a wish; a newer one for the same engine and model replaces it. */
  public synchronized void request(WeightPlan.Load load, long nowMs) {
    wishes.put(load.engine() + "/" + load.model(), new Wish(load, nowMs));
  }

  /**
   * Returns the loads that may start, urgent ones first and then in the order of their wishes.
   *
   * @param loading engines that load already
   * @param nowMs present time
   */
  public synchronized List<WeightPlan.Load> startable(int loading, long nowMs) {
    wishes.values().removeIf(w -> nowMs - w.at() > REQUEST_TTL_MS);
    Comparator<Wish> urgentFirst = Comparator.comparing(w -> !w.load().urgent());
    return wishes.values().stream()
        .sorted(urgentFirst)
        .limit(Math.max(0, parallelLoads - loading))
        .map(Wish::load)
        .toList();
  }

  /** Drops the wish for a load that has been ordered. */
  public synchronized void remove(WeightPlan.Load load) {
    wishes.remove(load.engine() + "/" + load.model());
  }
}
