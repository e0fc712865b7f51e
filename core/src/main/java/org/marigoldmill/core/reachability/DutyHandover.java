package org.marigoldmill.core.reachability;

/**
 * Decides when an instance that reaches no upstream hands its duties over, and when it takes duties
 * again.
 *
 * <p>Answers paths that come and go: each loss within {@value #MEMORY_MS} ms of the one before
 * doubles the time for which the path must stay open first, so that duties do not move with every
 * change. Times are readings of a monotonic clock in milliseconds.
 */
public final class DutyHandover {
  /** Time without the path after which another instance does the work sooner. */
  private static final long HANDOVER_AFTER_MS = 400;

  private static final long MIN_OPEN_MS = 1_000;
  private static final long MAX_OPEN_MS = 32_000;
  private static final long MEMORY_MS = 60_000;

  private boolean resting;
  private boolean lost;
  private long changedAtMs;
  private long restedAtMs;
  private long requiredOpenMs = MIN_OPEN_MS;

  /** Creates the state of an instance that may hold duties. */
  public DutyHandover(long nowMs) {
    this.changedAtMs = nowMs;
    this.restedAtMs = nowMs - MEMORY_MS;
  }

  /**
   * Returns whether this instance may hold duties.
   *
   * @param pathLost whether it reaches no upstream
   * @param othersReach whether another instance is known to reach upstreams
   */
  public synchronized boolean mayHold(boolean pathLost, boolean othersReach, long nowMs) {
    if (pathLost != lost) {
      lost = pathLost;
      changedAtMs = nowMs;
    }
    long unchangedMs = nowMs - changedAtMs;
    if (!resting && lost && othersReach && unchangedMs >= HANDOVER_AFTER_MS) {
      rest(nowMs);
    } else if (resting && !lost && unchangedMs >= requiredOpenMs) {
      resting = false;
    }
    return !resting;
  }

  private void rest(long nowMs) {
    boolean soon = nowMs - restedAtMs < MEMORY_MS;
    requiredOpenMs = soon ? Math.min(2 * requiredOpenMs, MAX_OPEN_MS) : MIN_OPEN_MS;
    restedAtMs = nowMs;
    resting = true;
  }
}
