package org.marigoldmill.core.submission;

/**
 * Decides how long an attempt to score a text may take.
 *
 * <p>Answers the load of calls whose work differs by more than ten times, at upstreams of which
 * some never answer. A short limit finds these out soon, but a call that needs longer would be cut
 * each time it is repeated, and its item never be finished. So an attempt gets more time after each
 * one without an answer.
 */
public final class RewardTimeout {
  private static final long MAX_FIRST_MS = 1_500;
  private static final long MAX_MS = 20_000;

  private RewardTimeout() {}

  /**
   * Returns the time limit of an attempt, in milliseconds.
   *
   * @param routeTimeoutMs time that the operator allows a call on the route, in milliseconds
   * @param unanswered number of attempts that have had no answer in time
   */
  public static long attemptMs(long routeTimeoutMs, int unanswered) {
    long limitMs = Math.max(1, Math.min(MAX_FIRST_MS, routeTimeoutMs / 2));
    for (int i = 0; i < unanswered && limitMs < MAX_MS; i++) {
      limitMs *= 2;
    }
    return Math.min(MAX_MS, limitMs);
  }
}
