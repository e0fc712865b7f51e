package org.marigoldmill.core.submission;

/** When an item that fails may be listed without a text. */
public final class GiveUpRule {
  private GiveUpRule() {}

  /**
   * Returns whether an item is given up because its reward call fails.
   *
   * <p>The call has a route of its own, which may allow more attempts than the item's.
   *
   * @param failures answers of status 500 that the call has had
   * @param itemAttempts attempts that the item's route allows
   * @param rewardAttempts attempts that the call's route allows
   */
  public static boolean rewardAttemptsExhausted(
      int failures, int itemAttempts, int rewardAttempts) {
    return failures >= Math.max(itemAttempts, rewardAttempts);
  }

  /**
   * Returns whether an item is given up because its runs fail.
   *
   * @param failures answers of status 500 that the item has had
   * @param itemAttempts attempts that the item's route allows
   */
  public static boolean itemAttemptsExhausted(int failures, int itemAttempts) {
    return failures >= itemAttempts;
  }
}
