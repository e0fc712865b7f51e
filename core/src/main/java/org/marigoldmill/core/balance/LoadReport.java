package org.marigoldmill.core.balance;

/**
 * The load that an engine reports with an answer.
 *
 * @param running number of requests in progress
 * @param waiting number of queued requests
 * @param slots maximum number of concurrent requests; 0 if unknown
 * @param slowdown time that work takes now, as a multiple of the usual time
 */
public record LoadReport(int running, int waiting, int slots, double slowdown) {
  /** Checks the figures. */
  public LoadReport {
    if (running < 0 || waiting < 0 || slots < 0 || !(slowdown > 0)) {
      throw new IllegalArgumentException(
          "load report: expected counts of at least 0 and a positive slowdown but was running="
              + running
              + " waiting="
              + waiting
              + " slots="
              + slots
              + " slowdown="
              + slowdown);
    }
  }

  /** Returns whether the engine had no free slot and a queue. */
  public boolean full() {
    return slots > 0 && running >= slots && waiting > 0;
  }
}
