package org.marigoldmill.core.limit;

import java.util.OptionalLong;
import org.marigoldmill.core.route.Route;

/**
 * Decides whether a request waits for its turn at an engine with a request limit, and when a
 * refused caller comes back.
 *
 * <p>Answers the load of more callers than all engines of a service accept together. A queue would
 * make every one of them late and serve no more of them, so a request waits only while its answer
 * can be in time; any other is refused at once, and the callers come back spread over time.
 */
public final class LimitWait {
  /** Part of the time for an answer in time that a request may wait. */
  private static final int OBJECTIVE_DIVISOR = 2;

  /** Part of the caller's time that a request may wait. */
  private static final int REMAINING_DIVISOR = 4;

  private static final long MIN_RETRY_AFTER_MS = 200;
  private static final long MAX_RETRY_AFTER_MS = 2_000;

  /** Number of different times to which callers refused at once are told to come back. */
  private static final int SPREAD_STEPS = 64;

  private LimitWait() {}

  /**
   * Returns the longest time that a request waits for its turn, in milliseconds.
   *
   * @param remainingMs time that its caller still waits, in milliseconds
   */
  public static long maxMs(Route route, long remainingMs) {
    return Math.min(route.sloMs() / OBJECTIVE_DIVISOR, remainingMs / REMAINING_DIVISOR);
  }

  /**
   * Returns the time after which a refused caller may come back, in milliseconds: from the next
   * turn on, over once more that time.
   *
   * @param turnInMs time until the next turn, in milliseconds; empty if unknown
   * @param request id of the request, which decides where in that time
   */
  public static long retryAfterMs(OptionalLong turnInMs, String request) {
    long earliestMs =
        Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, turnInMs.orElse(0)));
    long step = Math.floorMod(request.hashCode(), SPREAD_STEPS);
    return earliestMs + earliestMs * step / SPREAD_STEPS;
  }
}
