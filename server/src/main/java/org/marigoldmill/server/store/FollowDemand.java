package org.marigoldmill.server.store;

import org.marigoldmill.server.Clock;

/** Whether a partition is to be followed: until told otherwise, for a limited time, or not. */
final class FollowDemand {
  private final Clock clock;
  private boolean continuous;
  private long untilMs;
  private long sinceMs;

  /** Creates a demand that is absent at first. */
  FollowDemand(Clock clock) {
    this.clock = clock;
    this.untilMs = clock.now();
  }

  /** Demands that the partition be followed until the next call, or ends that demand. */
  synchronized void setContinuous(boolean demanded) {
    if (demanded) {
      begin();
    }
    continuous = demanded;
    notifyAll();
  }

  /** Demands that the partition be followed at least until a time of the clock. */
  synchronized void extendTo(long timeMs) {
    begin();
    untilMs = Math.max(untilMs, timeMs);
    notifyAll();
  }

  /**
   * Returns how long the partition is to be followed at least, in milliseconds; 0 if not at all.
   */
  synchronized long remainingMs() {
    return continuous ? Long.MAX_VALUE : Math.max(0, untilMs - clock.now());
  }

  /** Returns since when there has been demand without a break, by the clock. */
  synchronized long sinceMs() {
    return sinceMs;
  }

  /** Waits until there is demand. */
  synchronized void await() throws InterruptedException {
    while (remainingMs() == 0) {
      wait();
    }
  }

  private void begin() {
    if (remainingMs() == 0) {
      sinceMs = clock.now();
    }
  }
}
