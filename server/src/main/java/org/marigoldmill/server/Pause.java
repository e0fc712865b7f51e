package org.marigoldmill.server;

/** Pauses of the calling thread; an interrupt ends a pause and stays set. */
public final class Pause {
  private Pause() {}

  /**
   * Pauses the calling thread.
   *
   * @param ms length in milliseconds, not negative
   * @return whether the pause lasted to its end
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
