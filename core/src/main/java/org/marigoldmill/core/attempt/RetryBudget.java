package org.marigoldmill.core.attempt;

/** Limits retries to a ratio of first attempts, so that retries do not multiply the load. */
public final class RetryBudget {
  private static final double RETRY_RATIO = 0.1;
  private static final double MAX_BALANCE = 10;

  private double balance = MAX_BALANCE;

  /** Credits the budget for a first attempt. */
  public synchronized void recordFirstAttempt() {
    balance = Math.min(MAX_BALANCE, balance + RETRY_RATIO);
  }

  /** Returns whether a retry is allowed, and charges the budget for it. */
  public synchronized boolean tryAcquireRetry() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
