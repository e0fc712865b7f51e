package org.marigoldmill.server;

/** Sleeps that an interrupt ends early, with the interrupt flag kept set. */
public final class Pause {
  private Pause() {}

  /**
   * Puts the calling thread to sleep.
   *
   * @param ms duration in milliseconds, not negative
   * @return false if the thread was interrupted
   */
  public static boolean millis(long ms) {
    try {
      Thread.sleep(ms);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
