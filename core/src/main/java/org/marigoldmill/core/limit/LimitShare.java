package org.marigoldmill.core.limit;

/**
 * The part of an engine's request limit that one instance may use for requests of one urgency.
 *
 * <p>Answers the load of an overloaded engine behind many instances, of which a few send most of
 * the requests and each of the others one now and then. The limit is divided by demand, so that all
 * of it is used wherever the load arrives. An instance with a steady part sends at that rate. One
 * whose part is less than a request in a second lets a fixed share of its requests pass instead: a
 * rate of one in half a minute would refuse its rare requests while the engine has room.
 *
 * <p>Work comes in bursts, a submission with all of its items at once, so turns that are not used
 * are saved for some time. All that is saved stays within what an engine tolerates beyond its
 * limit.
 *
 * <p>Callers go first; background work keeps a floor. An instance that does not hear from the
 * others gets an equal part of a reserve, which is small enough that the engine gets less than one
 * and a half times its limit even if the others use all of it.
 *
 * @param requestsPerSecond rate of the instance's token bucket
 * @param burst largest number of requests at once
 * @param passRatio part of the requests that may ask the token bucket, from 0 to 1
 */
public record LimitShare(double requestsPerSecond, double burst, double passRatio) {
  private static final double RESERVE_FOR_CALLS = 0.3;
  private static final double RESERVE_FOR_BACKGROUND = 0.2;

  /** Part of the limit that background work keeps however many callers there are. */
  private static final double BACKGROUND_FLOOR = 0.1;

  /** Leaves room for the chance by which more requests than expected pass. */
  private static final double RANDOM_PART = 0.85;

  /** Requests a second from which on they are spread evenly over time. */
  private static final double STEADY_RATE = 1;

  private static final double MIN_BURST = 2;

  /** Time for which all instances together save turns that they do not use, in seconds. */
  private static final double SPARE_S = 2;

  /** Turns that all instances together may save besides. */
  private static final double SPARE_REQUESTS = 2;

  /** Largest part of the limit that a single instance with rare requests may use at a stretch. */
  private static final double STRETCH_PART = 0.25;

  /**
   * Returns the share of an instance that knows the demand of all.
   *
   * @param limit requests a second that the engine accepts from all instances
   * @param own requests a second that this instance has for the engine
   * @param calls requests a second that all instances have from callers
   * @param background requests a second that all instances have in the background
   */
  public static LimitShare known(
      double limit, Urgency urgency, double own, double calls, double background) {
    double budget = budget(limit, urgency, calls, background);
    double all = Math.max(own, urgency == Urgency.CALL ? calls : background);
    double rate = all <= 0 ? budget : budget * own / all;
    if (rate >= STEADY_RATE) {
      double spare = SPARE_S * rate + SPARE_REQUESTS * rate / budget;
      return new LimitShare(rate, Math.max(MIN_BURST, spare), 1);
    }
    double passRatio = all <= 0 ? 1 : Math.min(1, RANDOM_PART * budget / all);
    return new LimitShare(Math.max(rate, STRETCH_PART * budget), MIN_BURST, passRatio);
  }

  /**
   * Returns the share of an instance that does not know the demand of the others.
   *
   * @param limit requests a second that the engine accepts from all instances
   * @param instances number of instances
   */
  public static LimitShare unknown(double limit, Urgency urgency, int instances) {
    double part = urgency == Urgency.CALL ? RESERVE_FOR_CALLS : RESERVE_FOR_BACKGROUND;
    return new LimitShare(part * limit / Math.max(1, instances), 1, 1);
  }

  private static double budget(double limit, Urgency urgency, double calls, double background) {
    double forCalls = background > 0 ? (1 - BACKGROUND_FLOOR) * limit : limit;
    return urgency == Urgency.CALL ? forCalls : limit - Math.min(calls, forCalls);
  }
}
