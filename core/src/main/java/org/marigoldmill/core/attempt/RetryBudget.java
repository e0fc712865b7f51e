package org.marigoldmill.core.attempt;

/** Allows repeated attempts as a share of first attempts, so that retries never multiply load. */
public final class RetryBudget {
  private static final double SHARE = 0.1;
  private static final double LARGEST_BALANCE = 10;

  private double balance = LARGEST_BALANCE;

  /** Counts a first attempt. */
  public synchronized void recordFirstAttempt() {
    balance = Math.min(LARGEST_BALANCE, balance + SHARE);
  }

  /** Takes one repeated attempt out of the budget, if there is any left. */
  public synchronized boolean tryAcquireRetry() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
