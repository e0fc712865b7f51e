package org.marigoldmill.server;

/**
 * Times of a graceful shutdown on the monotonic clock, in milliseconds.
 *
 * @param removedMs time by which the load balancer has stopped sending new connections
 * @param serveUntilMs time until which requests are served at the latest
 * @param answerUntilMs time until which the responses to requests in progress are awaited
 * @param storeUntilMs time until which the store is awaited
 * @param endMs time at which the process must have ended
 */
record ShutdownSchedule(
    long removedMs, long serveUntilMs, long answerUntilMs, long storeUntilMs, long endMs) {
  private static final long BALANCER_REMOVAL_MS = 2_300;

  /** Includes 300 ms for which a halting JVM may wait for threads in native code. */
  private static final long END_MARGIN_MS = 700;

  private static final long CLOSE_MS = 300;
  private static final long STORE_MS = 300;
  private static final long ANSWER_MS = 300;

  /** Returns the schedule of a shutdown that may take a grace period, in milliseconds. */
  static ShutdownSchedule of(long startMs, long graceMs) {
    long endMs = startMs + graceMs - END_MARGIN_MS;
    long storeUntilMs = endMs - CLOSE_MS;
    long answerUntilMs = storeUntilMs - STORE_MS;
    return new ShutdownSchedule(
        startMs + BALANCER_REMOVAL_MS,
        answerUntilMs - ANSWER_MS,
        answerUntilMs,
        storeUntilMs,
        endMs);
  }
}
