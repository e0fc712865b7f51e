package org.marigoldmill.core.limit;

/**
 * How the requests that a cold engine tolerates in any second are divided.
 *
 * @param claimed requests in a second by instances that have claimed turns through the log
 * @param reservedPerSecond requests a second of all instances together without a claim; few enough
 *     that they and the claimed ones stay within the bound whichever instances send
 */
record WarmupBudget(int claimed, double reservedPerSecond) {
  /** Time for which a turn without a claim may be used, in milliseconds. */
  static final long RESERVED_TURN_MS = 500;

  private static final double RESERVED_PART = 0.3;

  /** Chance that turns without a claim exceed their part in a second. */
  private static final double EXCESS_CHANCE = 1e-6;

  private static final int BISECTIONS = 40;

  /** Divides what an engine tolerates that accepts a number of requests a second. */
  static WarmupBudget of(double requestsPerSecond, WarmupTolerance tolerance) {
    int tolerated = tolerance.requestsInSecond(requestsPerSecond);
    int reserved = (int) (RESERVED_PART * tolerated);
    double countedS = (1_000 + RESERVED_TURN_MS) / 1e3;
    double rate = Math.min(requestsPerSecond, meanBelow(reserved) / countedS);
    return new WarmupBudget(tolerated - reserved, rate);
  }

  /**
   * Returns a mean of independent events whose number exceeds a limit with at most {@link
   * #EXCESS_CHANCE} (Chernoff bound of the Poisson distribution).
   */
  private static double meanBelow(int limit) {
    int excess = limit + 1;
    double low = 0;
    double high = excess;
    for (int i = 0; i < BISECTIONS; i++) {
      double mean = (low + high) / 2;
      double logChance = excess - mean + excess * Math.log(mean / excess);
      boolean rare = logChance <= Math.log(EXCESS_CHANCE);
      low = rare ? mean : low;
      high = rare ? high : mean;
    }
    return low;
  }
}
