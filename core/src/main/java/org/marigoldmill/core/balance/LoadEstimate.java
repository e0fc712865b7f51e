package org.marigoldmill.core.balance;

/**
 * What is estimated of an engine's load at a time.
 *
 * @param load requests running and waiting there, of this instance and of others
 * @param deviation standard deviation of the load
 * @param slots maximum number of concurrent requests
 * @param workMs time that a request takes there once it runs, in milliseconds
 * @param ageMs age of the last report, in milliseconds; {@link Long#MAX_VALUE} if there is none
 * @param full whether a fresh report says that the engine has a queue
 */
public record LoadEstimate(
    double load, double deviation, int slots, double workMs, long ageMs, boolean full) {

  /** Returns the time that a further request waits for a slot, in milliseconds. */
  public double waitMs() {
    return waitMs(load);
  }

  /** Returns the time that a further request would wait for a slot behind a load. */
  double waitMs(double assumedLoad) {
    return Math.max(0, assumedLoad + 1 - slots) / slots * workMs;
  }
}
