package org.marigoldmill.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Speed of an engine compared with the median of the engines of its service, fastest class first.
 *
 * <p>Only large differences count, so that an engine rarely changes its class.
 */
enum SpeedClass {
  FAST,
  USUAL,
  SLOW;

  /** Ratio of the times for an event from which on an engine is not of the usual class. */
  private static final double MIN_RATIO = 1.5;

  /**
   * Returns the class of each engine; an engine of unknown speed counts as usual.
   *
   * @param msPerEvent time for an event of the engines whose speed is known, in milliseconds
   */
  static Map<String, SpeedClass> classify(
      Collection<String> engines, Map<String, Double> msPerEvent) {
    List<Double> known =
        engines.stream().flatMap(e -> Optional.ofNullable(msPerEvent.get(e)).stream()).toList();
    double medianMs = known.isEmpty() ? 0 : EngineTimes.median(known);
    return engines.stream()
        .distinct()
        .collect(
            Collectors.toMap(
                Function.identity(), e -> of(msPerEvent.getOrDefault(e, medianMs), medianMs)));
  }

  private static SpeedClass of(double ms, double medianMs) {
    if (ms * MIN_RATIO < medianMs) {
      return FAST;
    }
    return ms > medianMs * MIN_RATIO ? SLOW : USUAL;
  }
}
