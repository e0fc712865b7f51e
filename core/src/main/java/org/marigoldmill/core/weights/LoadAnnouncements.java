package org.marigoldmill.core.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Decides which wanted loads of one model are published: each change at once, the rest rarely.
 *
 * <p>Answers the load on the log that all lease candidates read: without it, records grow with the
 * engines that wait for a load and the rate of planning.
 */
public final class LoadAnnouncements {
  /** Interval after which a load that is still wanted is published again, in milliseconds. */
  public static final long REPEAT_INTERVAL_MS = 500;

  private record Announced(WeightPlan.Load load, long atMs) {}

  private final Map<String, Announced> byEngine = new HashMap<>();

  /** Creates announcements of which none has been published. */
  public LoadAnnouncements() {}

  /**
   * Returns the loads and withdrawals to publish now.
   *
   * @param wanted all loads that are wanted now, at most one for an engine
   * @param nowMs current time, in milliseconds
   */
  public List<WeightPlan.Load> due(Collection<WeightPlan.Load> wanted, long nowMs) {
    Map<String, WeightPlan.Load> wantedByEngine =
        wanted.stream().collect(Collectors.toMap(WeightPlan.Load::engine, Function.identity()));
    List<WeightPlan.Load> due = new ArrayList<>();
    byEngine.values().stream()
        .map(Announced::load)
        .filter(l -> !wantedByEngine.containsKey(l.engine()))
        .map(WeightPlan.Load::withdrawal)
        .forEach(due::add);
    wanted.stream().filter(l -> isDue(l, nowMs)).forEach(due::add);
    return due;
  }

  /** Records that loads and withdrawals have been published. */
  public void recordPublished(Collection<WeightPlan.Load> published, long nowMs) {
    for (WeightPlan.Load load : published) {
      if (load.isWithdrawal()) {
        byEngine.remove(load.engine());
      } else {
        byEngine.put(load.engine(), new Announced(load, nowMs));
      }
    }
  }

  private boolean isDue(WeightPlan.Load load, long nowMs) {
    Announced announced = byEngine.get(load.engine());
    return announced == null
        || !announced.load().equals(load)
        || nowMs - announced.atMs() >= REPEAT_INTERVAL_MS;
  }
}
