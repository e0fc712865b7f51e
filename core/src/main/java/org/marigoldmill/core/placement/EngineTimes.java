package org.marigoldmill.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Collects how long engines took for an event in the runs whose results are stored.
 *
 * <p>The median does not depend on the order of the results, so processes that have read the same
 * results agree on it. A spell in which an engine is slow, or a reader receives many events at
 * once, does not change it. Not thread-safe.
 */
public final class EngineTimes {
  /** Number of events below which the time of a run is not measured precisely enough. */
  public static final int MIN_EVENTS = 8;

  /** Number of runs before which the time of an engine counts as unknown. */
  private static final int MIN_RUNS = 3;

  private final Map<String, List<Double>> msByEngine = new HashMap<>();

  /** Creates a collection without times. */
  public EngineTimes() {}

  /**
   * Adds a run; one without an engine or a time, as former builds store them, is passed over.
   *
   * @param msPerEvent time that the engine took for an event, in milliseconds
   */
  public void add(String engine, double msPerEvent) {
    if (!engine.isEmpty() && msPerEvent > 0) {
      msByEngine.computeIfAbsent(engine, e -> new ArrayList<>()).add(msPerEvent);
    }
  }

  /** Returns the median time for an event of each engine with enough runs, in milliseconds. */
  public Map<String, Double> medians() {
    return msByEngine.entrySet().stream()
        .filter(e -> e.getValue().size() >= MIN_RUNS)
        .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, e -> median(e.getValue())));
  }

  static double median(List<Double> values) {
    return values.stream().sorted().skip((values.size() - 1) / 2).findFirst().orElseThrow();
  }
}
