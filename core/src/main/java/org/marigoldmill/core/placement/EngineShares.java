package org.marigoldmill.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Divides the engines of a service among its models in proportion to their demand, and those of
 * each {@link SpeedClass} in proportion to the engines of each model.
 *
 * <p>Answers the load of steps that end with their longest item: a model without a fast engine has
 * late steps however many engines it has.
 *
 * <p>The result is deterministic, so every process computes the same division from the same engines
 * and demands. Adding or removing an engine reassigns few of the others, because each pair of
 * engine and model has a fixed rank (rendezvous hashing) and pairs are assigned in rank order until
 * each model has its quota. An engine whose speed class changes reassigns a few others.
 */
public final class EngineShares {
  private final Map<String, Set<String>> enginesByModel;

  private record RankedPair(String engine, String model, long rank) {}

  private EngineShares(Map<String, Set<String>> enginesByModel) {
    this.enginesByModel = enginesByModel;
  }

  /** Divides engines of unknown speed among models. */
  public static EngineShares divide(Collection<String> engines, Map<String, Double> demand) {
    return divide(engines, demand, Map.of());
  }

  /**
   * Divides engines among models. With fewer engines than models, models share engines.
   *
   * @param engines ids of the engines that accept new requests
   * @param demand demand of each model, in any common unit; every model gets at least one engine
   * @param msPerEvent time for an event of the engines whose speed is known, in milliseconds
   * @return the division
   */
  public static EngineShares divide(
      Collection<String> engines, Map<String, Double> demand, Map<String, Double> msPerEvent) {
    Map<String, Set<String>> shares = new HashMap<>();
    demand.keySet().forEach(m -> shares.put(m, new HashSet<>()));
    if (engines.isEmpty() || demand.isEmpty()) {
      return new EngineShares(shares);
    }
    if (engines.size() < demand.size()) {
      demand.keySet().forEach(m -> shares.get(m).add(firstRanked(engines, m)));
      return new EngineShares(shares);
    }
    Map<String, Integer> quotas = new HashMap<>(quotas(engines.size(), demand));
    Map<SpeedClass, List<String>> classes =
        SpeedClass.classify(engines, msPerEvent).entrySet().stream()
            .collect(
                Collectors.groupingBy(
                    Map.Entry::getValue,
                    TreeMap::new,
                    Collectors.mapping(Map.Entry::getKey, Collectors.toList())));
    classes.values().forEach(ids -> assign(ids, takeQuotas(ids.size(), quotas), shares));
    return new EngineShares(shares);
  }

  /** Assigns engines to models in the order of their rank, until each model has its quota. */
  private static void assign(
      Collection<String> engines, Map<String, Integer> quotas, Map<String, Set<String>> shares) {
    Map<String, Integer> left = new HashMap<>(quotas);
    Set<String> assigned = new HashSet<>();
    for (RankedPair pair : pairsByRank(engines, quotas.keySet())) {
      if (left.get(pair.model()) > 0 && assigned.add(pair.engine())) {
        left.merge(pair.model(), -1, Integer::sum);
        shares.get(pair.model()).add(pair.engine());
      }
    }
  }

  /**
   * Apportions some engines in proportion to what is left of the quotas, and reduces these.
   *
   * @param engines number of engines, at most the sum of the quotas
   */
  private static Map<String, Integer> takeQuotas(int engines, Map<String, Integer> quotas) {
    int total = quotas.values().stream().mapToInt(q -> q).sum();
    Map<String, Integer> taken = new HashMap<>();
    Map<String, Double> remainders = new HashMap<>();
    quotas.forEach(
        (model, quota) -> {
          double part = (double) quota * engines / total;
          taken.put(model, (int) Math.floor(part));
          remainders.put(model, part - Math.floor(part));
        });
    int unassigned = engines - taken.values().stream().mapToInt(t -> t).sum();
    Comparator<String> largestRemainder = Comparator.comparingDouble(remainders::get);
    quotas.keySet().stream()
        .sorted(largestRemainder.reversed().thenComparing(Comparator.naturalOrder()))
        .limit(unassigned)
        .forEach(m -> taken.merge(m, 1, Integer::sum));
    taken.forEach((model, count) -> quotas.merge(model, -count, Integer::sum));
    return taken;
  }

  /** Returns the ids of the engines assigned to a model. */
  public Set<String> engines(String model) {
    return enginesByModel.getOrDefault(model, Set.of());
  }

  /** Apportions engines by the largest-remainder method, with at least one for each model. */
  static Map<String, Integer> quotas(int engines, Map<String, Double> demand) {
    double total = demand.values().stream().mapToDouble(d -> d).sum();
    int spare = engines - demand.size();
    Map<String, Double> excess =
        demand.entrySet().stream()
            .collect(
                Collectors.toMap(
                    Map.Entry::getKey,
                    e -> Math.max(0, share(e.getValue(), total, demand.size()) * engines - 1)));
    double totalExcess = excess.values().stream().mapToDouble(d -> d).sum();
    Map<String, Integer> quotas = new HashMap<>();
    Map<String, Double> remainders = new HashMap<>();
    int unassigned = spare;
    for (Map.Entry<String, Double> entry : excess.entrySet()) {
      double scaled = totalExcess == 0 ? 0 : entry.getValue() * spare / totalExcess;
      int quotaShare = (int) Math.floor(scaled);
      quotas.put(entry.getKey(), 1 + quotaShare);
      remainders.put(entry.getKey(), scaled - quotaShare);
      unassigned -= quotaShare;
    }
    Comparator<String> largestRemainder =
        Comparator.comparingDouble((String m) -> remainders.get(m)).reversed();
    List<String> order =
        demand.keySet().stream()
            .sorted(largestRemainder.thenComparing(Comparator.naturalOrder()))
            .toList();
    for (int i = 0; i < unassigned; i++) {
      quotas.merge(order.get(i % order.size()), 1, Integer::sum);
    }
    return quotas;
  }

  private static double share(double demand, double total, int models) {
    return total == 0 ? 1.0 / models : demand / total;
  }

  private static String firstRanked(Collection<String> engines, String model) {
    return engines.stream()
        .min(Comparator.comparingLong((String e) -> rank(e, model)).thenComparing(e -> e))
        .orElseThrow();
  }

  private static List<RankedPair> pairsByRank(
      Collection<String> engines, Collection<String> models) {
    List<RankedPair> pairs = new ArrayList<>();
    for (String engine : engines) {
      models.forEach(m -> pairs.add(new RankedPair(engine, m, rank(engine, m))));
    }
    pairs.sort(Comparator.comparingLong(RankedPair::rank).thenComparing(RankedPair::engine));
    return pairs;
  }

  /**
   * Returns the rank of an engine for a model by rendezvous hashing, with the finalizer of
   * SplitMix64 as hash function; pairs of lower rank are considered first.
   */
  private static long rank(String engine, String model) {
    long z = engine.hashCode() * 0x9E3779B97F4A7C15L + model.hashCode();
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
