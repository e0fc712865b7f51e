package org.marigoldmill.core.attempt;

import org.marigoldmill.core.error.ErrorKind;

/**
 * Tracks the attempts of one request: whether it may be retried, and which error is reported.
 *
 * <p>A non-idempotent request is retried only while it has certainly not run. An error kind of
 * {@link ErrorKind.Execution#NOT_RUN} is reported only when no attempt can have run.
 */
public final class AttemptTracker {
  /**
   * After this many refusals the upstreams are assumed to be full, and the caller retries later.
   */
  private static final int MAX_REFUSALS = 6;

  private final boolean idempotent;
  private final int maxAttempts;
  private int attempts;
  private int sending;
  private int refusals;
  private int failures;
  private boolean mayHaveRun;
  private boolean started;
  private boolean answered;
  private ErrorKind kind = ErrorKind.NO_UPSTREAM;

  /**
   * Creates the tracker of a request that has not been sent.
   *
   * @param idempotent whether the request may run more than once
   * @param maxAttempts maximum number of attempts that may run; at least 1
   */
  public AttemptTracker(boolean idempotent, int maxAttempts) {
    this.idempotent = idempotent;
    this.maxAttempts = maxAttempts;
  }

  /** Records that an attempt is about to be sent. */
  public void recordSent() {
    recordSent(1);
  }

  /**
   * Records that the request is about to be sent to another instance, which may make attempts.
   *
   * @param granted number of attempts that it may make
   */
  public void recordSent(int granted) {
    sending = granted;
    attempts += granted;
  }

  /** Returns how many attempts another instance may make, so that one is left if it is lost. */
  public int grantableAttempts() {
    return Math.max(1, maxAttempts - attempts - 1);
  }

  /** Records that the attempt has certainly not run. */
  public void recordNotRun() {
    attempts -= sending;
    refusals++;
    kind = mayHaveRun ? ErrorKind.UPSTREAM_LOST : ErrorKind.NO_UPSTREAM;
  }

  /**
   * Records that it is unknown whether the attempt has run.
   *
   * @param silent whether the upstream timed out, as opposed to a broken connection
   */
  public void recordLost(boolean silent) {
    mayHaveRun = true;
    kind = silent ? ErrorKind.UPSTREAM_SILENT : ErrorKind.UPSTREAM_LOST;
  }

  /** Records that the attempt was given up because no upstream is reached; it does not count. */
  public void recordAbandoned() {
    attempts -= sending;
    recordLost(true);
  }

  /** Records that another instance has got a final answer; it has counted what ran. */
  public void recordAnsweredElsewhere() {
    mayHaveRun = true;
    answered = true;
  }

  /** Records that the upstream has started to run the attempt. */
  public void recordStarted() {
    started = true;
    mayHaveRun = true;
  }

  /**
   * Records that the attempt ran and failed.
   *
   * @param countsAsFailure whether it counts towards {@link #failures()}
   */
  public void recordFailed(boolean countsAsFailure) {
    recordStarted();
    failures += countsAsFailure ? 1 : 0;
    kind = ErrorKind.UPSTREAM_LOST;
  }

  /** Records that the attempt got a final answer. */
  public void recordAnswered() {
    recordStarted();
    answered = true;
  }

  /**
   * Records why no upstream may be sent the request now; an attempt that may have run is reported
   * instead.
   *
   * @param reason a kind of {@link ErrorKind.Execution#NOT_RUN}
   */
  public void recordUnavailable(ErrorKind reason) {
    kind = mayHaveRun ? kind : reason;
  }

  /** Records that the deadline of the request has passed. */
  public void recordDeadlineExpired() {
    kind = mayHaveRun ? ErrorKind.UPSTREAM_SILENT : ErrorKind.DEADLINE_EXPIRED;
  }

  /** Records that the request was cancelled. */
  public void recordCancelled() {
    kind = mayHaveRun ? ErrorKind.UPSTREAM_LOST : ErrorKind.NO_UPSTREAM;
  }

  /** Returns whether another attempt may be sent. */
  public boolean maySend() {
    boolean mayRunAgain = idempotent || !mayHaveRun;
    return !answered && mayRunAgain && attempts < maxAttempts && refusals < MAX_REFUSALS;
  }

  /** Returns whether the attempts so far, the current one included, use up the maximum. */
  public boolean isLastAttempt() {
    return attempts >= maxAttempts;
  }

  /** Returns the number of attempts that may have run. */
  public int attempts() {
    return attempts;
  }

  /** Returns the number of attempts that have certainly not run. */
  public int refusals() {
    return refusals;
  }

  /** Returns the number of failures that count towards giving up the request. */
  public int failures() {
    return failures;
  }

  /** Returns whether an upstream has certainly started to run the request. */
  public boolean hasStarted() {
    return started;
  }

  /** Returns the error to report when the request has no answer. */
  public ErrorKind kind() {
    return kind;
  }
}
