package org.marigoldmill.core.attempt;

import java.util.Set;

/**
 * What becomes of the answer of an upstream that has run a request.
 *
 * <p>Callers conclude from some statuses that a request has not run, and send it again even if it
 * is not idempotent. An upstream that has run the request may answer with such a status all the
 * same, for example when a part of it is overloaded; its caller must not see that status.
 */
public enum AnswerRule {
  /** The caller gets the answer. */
  RETURN,
  /** The caller gets the answer if no further attempt may follow. */
  RETURN_IF_LAST,
  /** The caller gets an error of this service instead if no further attempt may follow. */
  WITHHOLD;

  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /**
   * Returns the rule for an answer.
   *
   * @param status HTTP status of the answer, which does not say that the request has not run
   * @param proven whether the answer proves that the upstream has made it
   */
  public static AnswerRule of(int status, boolean proven) {
    boolean successful = status >= 200 && status < 300;
    boolean rejected = status >= 400 && status < 500;
    if (promisesNotRun(status)) {
      return WITHHOLD;
    }
    if (rejected || (successful && proven)) {
      return RETURN;
    }
    return proven && !successful ? RETURN_IF_LAST : WITHHOLD;
  }

  /** Returns whether callers conclude from a status that the request has not run. */
  public static boolean promisesNotRun(int status) {
    return NOT_RUN_STATUSES.contains(status);
  }
}
