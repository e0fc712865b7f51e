package org.marigoldmill.core.limit;

/**
 * Requests in a second that a cold engine tolerates beyond its rate.
 *
 * @param excess multiple of the rate, at least 1
 * @param slack number of requests besides
 */
public record WarmupTolerance(double excess, int slack) {
  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if the engine would tolerate less than its rate
   */
  public WarmupTolerance {
    if (!(excess >= 1) || slack < 0) {
      throw new IllegalArgumentException(
          "tolerance: expected an excess of at least 1 and a slack of at least 0 but was "
              + excess
              + " and "
              + slack);
    }
  }

  /** Returns the largest number of requests in a second for a rate. */
  int requestsInSecond(double requestsPerSecond) {
    return (int) (excess * requestsPerSecond + slack);
  }
}
