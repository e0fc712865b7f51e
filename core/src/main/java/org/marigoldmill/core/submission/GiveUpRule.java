package org.marigoldmill.core.submission;

/** Decides when a failing item is given up, that is, stored with a result that has no text. */
public final class GiveUpRule {
  private GiveUpRule() {}

  /**
   * Returns whether an item is given up because its reward call keeps failing.
   *
   * <p>The reward call has its own route, which may allow more attempts than the item's route; the
   * larger limit applies.
   *
   * @param failures responses of status 500 to the reward call so far
   * @param itemAttempts maximum attempts of the item's route
   * @param rewardAttempts maximum attempts of the reward call's route
   */
  public static boolean rewardAttemptsExhausted(
      int failures, int itemAttempts, int rewardAttempts) {
    return failures >= Math.max(itemAttempts, rewardAttempts);
  }

  /**
   * Returns whether an item is given up because its runs keep failing.
   *
   * @param failures responses of status 500 to the item so far
   * @param itemAttempts maximum attempts of the item's route
   */
  public static boolean itemAttemptsExhausted(int failures, int itemAttempts) {
    return failures >= itemAttempts;
  }
}
