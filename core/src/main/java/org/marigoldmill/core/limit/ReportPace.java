package org.marigoldmill.core.limit;

/**
 * Paces the reports of one instance, so that all instances together report about {@value
 * #REPORTS_PER_S} times a second, however many they are.
 *
 * <p>Each instance sees all reports, and lengthens its interval while there are more than that.
 * Times are readings of a monotonic clock in milliseconds.
 */
final class ReportPace {
  static final int REPORTS_PER_S = 20;
  private static final double MIN_INTERVAL_MS = 300;
  private static final double MAX_INTERVAL_MS = 20_000;

  /** Largest factor by which one report changes the interval. */
  private static final double MAX_STEP = 3;

  private final DemandMeter seen;
  private double intervalMs = MIN_INTERVAL_MS;
  private long lastReportAtMs;

  ReportPace(long nowMs) {
    this.seen = new DemandMeter(nowMs);
    this.lastReportAtMs = nowMs - (long) MAX_INTERVAL_MS;
  }

  /** Counts a report of any instance. */
  void recordSeen(long nowMs) {
    seen.add(1, nowMs);
  }

  /** Records a report of this instance. */
  void recordSent(long nowMs) {
    lastReportAtMs = nowMs;
    double step = seen.perSecond(nowMs) / REPORTS_PER_S;
    intervalMs *= Math.min(MAX_STEP, Math.max(1 / MAX_STEP, step));
    intervalMs = Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, intervalMs));
  }

  /** Returns whether the next report may be sent. */
  boolean mayReport(long nowMs) {
    return nowMs - lastReportAtMs >= intervalMs;
  }

  /** Returns whether urgent news may be sent, which do not wait for the whole interval. */
  boolean mayReportNews(long nowMs) {
    return nowMs - lastReportAtMs >= MIN_INTERVAL_MS;
  }

  /** Returns the present interval between reports, in milliseconds. */
  long intervalMs() {
    return (long) intervalMs;
  }
}
