package org.marigoldmill.core.submission;

/**
 * Decides which unfinished texts are stored, so that another process can continue them.
 *
 * <p>Answers the load of texts of very different length whose owner is lost: a step ends with its
 * longest text, and one that takes longer than its owners live would never end if it were begun
 * anew each time. Short texts, which are most of them, are generated again as fast as they are
 * read, so they are not stored.
 */
public final class CheckpointPolicy {
  /** Interval at which texts are looked through, in milliseconds. */
  public static final long INTERVAL_MS = 500;

  /** Number of events from which on a text is stored. */
  static final long MIN_EVENTS = 16;

  /** Number of new events from which on they are stored too. */
  static final long MIN_NEW_EVENTS = 8;

  private CheckpointPolicy() {}

  /**
   * Returns whether the new events of a text should be stored now.
   *
   * @param events number of events of the text
   * @param storedEvents number of its events that are stored
   */
  public static boolean due(long events, long storedEvents) {
    return events >= MIN_EVENTS && events - storedEvents >= MIN_NEW_EVENTS;
  }
}
