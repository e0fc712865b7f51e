package org.marigoldmill.core.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which engines take the newest weights of their model now.
 *
 * <p>An engine that is too old for every open item is useless until it has loaded, so it loads at
 * once. An engine that open items can still use loads only while its model has nothing to generate,
 * because a load stops generation. At most a few load at a time, since loads slow each other.
 */
public final class WeightPlan {
  private final int parallelLoads;

  /**
   * An engine in the share of one model.
   *
   * @param engine id of the engine
   * @param model model that it serves
   * @param version version of the weights that it has, or has been ordered to load
   * @param loading whether an order is in progress there
   */
  public record Place(String engine, String model, long version, boolean loading) {}

  /**
   * What the open submissions of a model ask for.
   *
   * @param model the model
   * @param newestVersion newest version that its trainer has named; 0 for none
   * @param oldestUsable oldest version that some open item accepts
   * @param strictest oldest version that every open item accepts
   * @param openItems items that are not finished
   */
  public record Demand(
      String model, long newestVersion, long oldestUsable, long strictest, int openItems) {}

  /** An order to load weights. */
  public record Order(String engine, String model, long version) {}

  /**
   * Creates a plan.
   *
   * @param parallelLoads engines that may load at the same time, at least 1
   */
  public WeightPlan(int parallelLoads) {
    this.parallelLoads = parallelLoads;
  }

  /**
   * Returns the orders to give now, most urgent first.
   *
   * @param places all engines, each in the share of its model
   * @param demands one for each model
   */
  public List<Order> due(List<Place> places, List<Demand> demands) {
    long loading = places.stream().filter(Place::loading).count();
    record Candidate(Place place, Demand demand, boolean useless) {}

    List<Candidate> candidates = new ArrayList<>();
    for (Demand demand : demands) {
      places.stream()
          .filter(p -> p.model().equals(demand.model()) && !p.loading())
          .filter(p -> p.version() < demand.newestVersion())
          .map(p -> new Candidate(p, demand, p.version() < demand.strictest()))
          .filter(c -> c.useless() || demand.openItems() == 0)
          .forEach(candidates::add);
    }
    Comparator<Candidate> uselessFirst = Comparator.comparing(c -> !c.useless());
    Comparator<Candidate> oldestFirst = Comparator.comparingLong(c -> c.place().version());
    return candidates.stream()
        .sorted(uselessFirst.thenComparing(oldestFirst).thenComparing(c -> c.place().engine()))
        .limit(Math.max(0, parallelLoads - loading))
        .map(c -> new Order(c.place().engine(), c.demand().model(), c.demand().newestVersion()))
        .toList();
  }
}
