package org.marigoldmill.core.weights;

import java.util.Comparator;
import java.util.List;

/**
 * Decides which engines of one model should load its newest weights now.
 *
 * <p>An engine that is too old for items that wait loads at once. An engine that they can still use
 * loads only while it runs nothing and nothing waits, because a load stops generation. Then one
 * engine of the share is left out, so that a step that comes meanwhile can start.
 */
public final class WeightPlan {

  /**
   * An engine in the share of the model.
   *
   * @param engine id of the engine
   * @param version version of the weights that it has, or has been ordered to load
   * @param loading whether an order is in progress there
   * @param runningItems items that run there
   */
  public record EngineState(String engine, long version, boolean loading, int runningItems) {}

  /**
   * What waits for the model's engines.
   *
   * @param model the model
   * @param newestVersion newest version that its trainer has named; 0 for none
   * @param requiredVersion oldest version that every waiting item accepts; 0 when none waits
   * @param waitingItems items that wait for a place
   * @param singleVersion whether an item must not mix versions
   */
  public record Demand(
      String model,
      long newestVersion,
      long requiredVersion,
      int waitingItems,
      boolean singleVersion) {}

  /**
   * A load that is wanted.
   *
   * @param engine engine that should load
   * @param model the model
   * @param version version to load
   * @param urgent whether items that wait cannot run on the engine before
   * @param keepRuns whether runs in progress go on under the new version
   */
  public record Load(String engine, String model, long version, boolean urgent, boolean keepRuns) {}

  private WeightPlan() {}

  /**
   * Returns the loads that are wanted now, most urgent first.
   *
   * @param places engines in the share of the model
   * @param demand what waits for them
   */
  public static List<Load> requiredLoads(List<EngineState> places, Demand demand) {
    List<EngineState> old =
        places.stream()
            .filter(p -> !p.loading() && p.version() < demand.newestVersion())
            .sorted(
                Comparator.comparingLong(EngineState::version).thenComparing(EngineState::engine))
            .toList();
    List<Load> urgent =
        old.stream()
            .filter(p -> demand.waitingItems() > 0 && p.version() < demand.requiredVersion())
            .map(p -> load(p, demand, true))
            .toList();
    if (!urgent.isEmpty() || demand.waitingItems() > 0) {
      return urgent;
    }
    long available = places.stream().filter(p -> !p.loading()).count();
    long spare = places.size() > 1 ? available - 1 : available;
    return old.stream()
        .filter(p -> p.runningItems() == 0)
        .limit(Math.max(0, spare))
        .map(p -> load(p, demand, false))
        .toList();
  }

  private static Load load(EngineState place, Demand demand, boolean urgent) {
    return new Load(
        place.engine(), demand.model(), demand.newestVersion(), urgent, !demand.singleVersion());
  }
}
