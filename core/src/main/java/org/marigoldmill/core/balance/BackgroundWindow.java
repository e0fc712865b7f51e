package org.marigoldmill.core.balance;

/**
 * Limits the background requests that this instance has in flight at the engines of one service.
 *
 * <p>Answers the load of many reward calls that become due at once, at engines that also serve
 * callers, who have less time. What does not find a free slot waits here, not in the engines'
 * queues: the window starts with half of the room that reports show as free, grows by one with each
 * answer of an engine that has a free slot besides the one that the answer frees, and shrinks when
 * an engine refuses or has a queue (additive increase, multiplicative decrease, as in TCP's
 * congestion control). It never falls below a floor, and no request waits longer than a part of its
 * time, so that trainers do not starve.
 *
 * <p>Not thread-safe. Times are readings of a monotonic clock in milliseconds.
 */
public final class BackgroundWindow {
  private static final int FLOOR = 2;

  /** Part of the free slots that one instance takes before it has seen reports. */
  private static final double START_PART = 0.5;

  private static final double DECREASE = 0.5;

  /** Time without background requests after which the window starts anew, in milliseconds. */
  private static final long IDLE_MS = 1_000;

  /** Least and most time kept for a request that has waited, as multiples of its work. */
  private static final double MIN_KEPT = 2;

  private static final double MAX_KEPT = 6;

  /** Multiples of it, without their whole part, are spread evenly between 0 and 1. */
  private static final double GOLDEN_RATIO = 0.618033988749895;

  private double size = FLOOR;
  private int inFlight;
  private int arrivals;
  private long usedAtMs = Long.MIN_VALUE;
  private long decreasedAtMs = Long.MIN_VALUE;

  /**
   * Returns the longest time that the next request waits for room, in milliseconds, which leaves
   * time for its work. It differs from request to request, so that those that became due at once
   * are not sent at once after it.
   *
   * @param remainingMs time until its deadline, in milliseconds
   * @param workMs time that a request usually takes, in milliseconds
   */
  public long maxWaitMs(long remainingMs, double workMs) {
    double spread = ++arrivals * GOLDEN_RATIO % 1;
    double kept = MIN_KEPT + spread * (MAX_KEPT - MIN_KEPT);
    return Math.max(0, remainingMs - Math.round(kept * workMs));
  }

  /**
   * Counts a request as in flight, if the window has room for it.
   *
   * @param freeSlots slots of the service's engines that are estimated to be free
   * @return whether it may be sent now
   */
  public boolean tryEnter(double freeSlots, long nowMs) {
    if (inFlight == 0 && (usedAtMs == Long.MIN_VALUE || nowMs - usedAtMs > IDLE_MS)) {
      size = Math.max(FLOOR, freeSlots * START_PART);
    }
    if (inFlight + 1 > size) {
      return false;
    }
    enter(nowMs);
    return true;
  }

  /** Counts a request as in flight that is sent without regard to the window. */
  public void enter(long nowMs) {
    inFlight++;
    usedAtMs = nowMs;
  }

  /** Records the end of a request. */
  public void leave(long nowMs) {
    inFlight--;
    usedAtMs = nowMs;
  }

  /**
   * Records the load that an engine reported with the answer to a background request.
   *
   * @param workMs time that a request usually takes, in milliseconds; the window shrinks once in it
   */
  public void recordReport(LoadReport report, double workMs, long nowMs) {
    if (report.waiting() > 0) {
      decrease(workMs, nowMs);
    } else if (report.slots() == 0) {
      recordAnswer();
    } else if (report.running() + 1 < report.slots() && inFlight + 1 >= size) {
      size++;
    }
  }

  /** Records an answer that says nothing of slots; the window grows by one with all in flight. */
  public void recordAnswer() {
    size += 1 / size;
  }

  /** Records that an engine refused a background request because it is full. */
  public void recordRefusal(double workMs, long nowMs) {
    decrease(workMs, nowMs);
  }

  /** Returns the number of requests that may be in flight. */
  public int size() {
    return (int) size;
  }

  /** Shrinks at most once in the time of a request, because a queue is seen by many answers. */
  private void decrease(double workMs, long nowMs) {
    if (decreasedAtMs != Long.MIN_VALUE && nowMs - decreasedAtMs < workMs) {
      return;
    }
    decreasedAtMs = nowMs;
    size = Math.max(FLOOR, size * DECREASE);
  }
}
