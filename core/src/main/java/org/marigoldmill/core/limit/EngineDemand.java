package org.marigoldmill.core.limit;

import java.util.OptionalDouble;

/**
 * What an instance tells the others about an engine with a limit.
 *
 * @param engine id of the engine
 * @param incarnation start time of the engine, in Unix milliseconds
 * @param calls requests of callers for the engine since the last report
 * @param background requests of submissions for the engine since the last report
 * @param limit limit that the engine named last, in requests a second; empty if it names none
 * @param limitAgeMs time since the engine said so, in milliseconds
 */
public record EngineDemand(
    String engine,
    long incarnation,
    double calls,
    double background,
    OptionalDouble limit,
    long limitAgeMs) {
  /** Largest count and limit that is believed. */
  private static final double MAX_REQUESTS = 1e9;

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if one is negative, not a number or beyond any real count
   */
  public EngineDemand {
    requireCount("calls", calls);
    requireCount("background", background);
    requireCount("limit", limit.orElse(0));
    if (limitAgeMs < 0) {
      throw new IllegalArgumentException("limit age: expected at least 0 but was " + limitAgeMs);
    }
  }

  private static void requireCount(String name, double value) {
    if (!(value >= 0 && value <= MAX_REQUESTS)) {
      throw new IllegalArgumentException(
          name + ": expected 0 to " + MAX_REQUESTS + " but was " + value);
    }
  }
}
