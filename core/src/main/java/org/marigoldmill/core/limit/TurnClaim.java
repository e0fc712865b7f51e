package org.marigoldmill.core.limit;

/**
 * Turns at a cold engine that an instance takes, if the log has room for them.
 *
 * @param engine id of the engine
 * @param incarnation start time of the engine, in Unix milliseconds
 * @param turns number of requests
 * @param budget turns that all instances together may use within a second
 * @param readTo offset of the last record that the instance had read from the log before
 * @param warmupLeftMs how long the engine stays cold as far as the instance has heard it from the
 *     engine, in milliseconds; 0 if it has not
 */
public record TurnClaim(
    String engine, long incarnation, int turns, int budget, long readTo, long warmupLeftMs) {
  private static final int MAX_TURNS = 1_000_000;

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if one is negative or beyond any real count
   */
  public TurnClaim {
    requireCount("turns", turns);
    requireCount("budget", budget);
    if (warmupLeftMs < 0) {
      throw new IllegalArgumentException(
          "warm-up time: expected at least 0 but was " + warmupLeftMs);
    }
  }

  private static void requireCount(String name, int value) {
    if (value < 0 || value > MAX_TURNS) {
      throw new IllegalArgumentException(
          name + ": expected 0 to " + MAX_TURNS + " but was " + value);
    }
  }
}
