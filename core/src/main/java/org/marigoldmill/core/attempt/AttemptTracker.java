package org.marigoldmill.core.attempt;

import org.marigoldmill.core.error.ErrorKind;

/**
 * What is known of the attempts of one request: whether another may follow, and what may be said.
 *
 * <p>A request that may run only once is sent again only while it has certainly not run. That it
 * has not run is said only when no attempt can have run.
 */
public final class AttemptTracker {
  /** Upstreams that refuse in a row are all full, and the caller better comes back later. */
  private static final int MOST_REFUSALS = 6;

  private final boolean repeatable;
  private final int maxAttempts;
  private int attempts;
  private int refusals;
  private int failures;
  private boolean mayHaveRun;
  private boolean hasStarted;
  private boolean recordAnswered;
  private ErrorKind kind = ErrorKind.NO_UPSTREAM;

  /**
   * Creates the record of a request that has not been sent.
   *
   * @param repeatable whether it may run several times
   * @param maxAttempts most attempts that may run, from 1 on
   */
  public AttemptTracker(boolean repeatable, int maxAttempts) {
    this.repeatable = repeatable;
    this.maxAttempts = maxAttempts;
  }

  /** Notes that an attempt is sent. */
  public void recordSent() {
    attempts++;
  }

  /** Notes that the attempt has certainly not run. */
  public void recordNotRun() {
    attempts--;
    refusals++;
    kind = mayHaveRun ? ErrorKind.UPSTREAM_LOST : ErrorKind.NO_UPSTREAM;
  }

  /** Notes that nothing tells whether the attempt has run. */
  public void recordLost(boolean silent) {
    mayHaveRun = true;
    kind = silent ? ErrorKind.UPSTREAM_SILENT : ErrorKind.UPSTREAM_LOST;
  }

  /** Notes that the attempt has begun to run. */
  public void recordStarted() {
    hasStarted = true;
    mayHaveRun = true;
  }

  /**
   * Notes that the attempt ran and failed.
   *
   * @param counts whether it counts among the failures for which a request is given up
   */
  public void recordFailed(boolean counts) {
    recordStarted();
    failures += counts ? 1 : 0;
    kind = ErrorKind.UPSTREAM_LOST;
  }

  /** Notes that the attempt was answered for good. */
  public void recordAnswered() {
    recordStarted();
    recordAnswered = true;
  }

  /** Notes that the time of the request is over. */
  public void recordDeadlineExpired() {
    kind = mayHaveRun ? ErrorKind.UPSTREAM_SILENT : ErrorKind.DEADLINE_EXPIRED;
  }

  /** Notes that nobody wants the request to run any more. */
  public void recordCancelled() {
    kind = mayHaveRun ? ErrorKind.UPSTREAM_LOST : ErrorKind.NO_UPSTREAM;
  }

  /** Returns whether the request may be sent now. */
  public boolean maySend() {
    boolean once = repeatable || !mayHaveRun;
    return !recordAnswered && once && attempts < maxAttempts && refusals < MOST_REFUSALS;
  }

  /** Returns whether an attempt sent now would be the last one allowed. */
  public boolean isLastAttempt() {
    return attempts >= maxAttempts;
  }

  /** Returns the attempts that may have run. */
  public int attempts() {
    return attempts;
  }

  /** Returns the attempts that have certainly not run. */
  public int refusals() {
    return refusals;
  }

  /** Returns the failures for which a request is given up. */
  public int failures() {
    return failures;
  }

  /** Returns whether an upstream has begun to run the request for certain. */
  public boolean hasStarted() {
    return hasStarted;
  }

  /** Returns why the request has no answer. */
  public ErrorKind kind() {
    return kind;
  }
}
