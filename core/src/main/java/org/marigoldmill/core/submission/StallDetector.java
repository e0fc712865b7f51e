package org.marigoldmill.core.submission;

/**
 * Tells when a stream makes no progress although its engine still sends bytes.
 *
 * <p>Answers the load of engines that send a byte now and then and never finish an event: timeouts
 * for silent connections do not end such a stream.
 */
public final class StallDetector {
  private final long maxEventGapMs;
  private long lastEventAtMs;

  /**
   * Starts to watch a stream.
   *
   * @param maxEventGapMs longest time without a complete event, in milliseconds
   * @param nowMs current time, in milliseconds
   */
  public StallDetector(long maxEventGapMs, long nowMs) {
    this.maxEventGapMs = maxEventGapMs;
    this.lastEventAtMs = nowMs;
  }

  /**
   * Records that bytes have arrived, and returns whether the stream has stalled.
   *
   * @param events number of events that these bytes completed
   * @param nowMs current time, in milliseconds
   */
  public boolean stalledAfter(int events, long nowMs) {
    if (events > 0) {
      lastEventAtMs = nowMs;
    }
    return nowMs - lastEventAtMs > maxEventGapMs;
  }
}
