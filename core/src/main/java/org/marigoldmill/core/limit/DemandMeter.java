package org.marigoldmill.core.limit;

/**
 * Measures a rate of requests as the larger of two exponentially weighted moving averages: a slow
 * one for requests that come rarely, and a fast one that follows a burst.
 *
 * <p>Until the averaging time has passed, an average is taken over the time since the start.
 */
final class DemandMeter {
  private static final double SLOW_AVERAGING_MS = 8_000;
  private static final double FAST_AVERAGING_MS = 2_500;
  private static final double MIN_PERIOD_MS = 1_000;

  private final long startedAtMs;
  private double slowCount;
  private double fastCount;
  private long updatedAtMs;

  DemandMeter(long nowMs) {
    this.startedAtMs = nowMs;
    this.updatedAtMs = nowMs;
  }

  /** Adds requests that arrived just now. */
  void add(double requests, long nowMs) {
    decay(nowMs);
    slowCount += requests;
    fastCount += requests;
  }

  /** Returns the rate in requests a second. */
  double perSecond(long nowMs) {
    decay(nowMs);
    double periodMs = Math.max(MIN_PERIOD_MS, (double) (nowMs - startedAtMs));
    return Math.max(
        rate(slowCount, SLOW_AVERAGING_MS, periodMs), rate(fastCount, FAST_AVERAGING_MS, periodMs));
  }

  private static double rate(double count, double averagingMs, double periodMs) {
    return 1e3 * count / (averagingMs * (1 - Math.exp(-periodMs / averagingMs)));
  }

  private void decay(long nowMs) {
    if (nowMs > updatedAtMs) {
      slowCount *= Math.exp((updatedAtMs - nowMs) / SLOW_AVERAGING_MS);
      fastCount *= Math.exp((updatedAtMs - nowMs) / FAST_AVERAGING_MS);
      updatedAtMs = nowMs;
    }
  }
}
