package org.marigoldmill.server.duty;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/** Counts started requests by wall-clock usage window and organisation. */
public final class UsageCounter {
  private final long windowMs;
  private final LongSupplier unixMs;
  private final Map<Long, Map<String, Long>> counts = new HashMap<>();

  /**
   * Creates a counter.
   *
   * @param windowMs length of a window in milliseconds; 0 disables counting
   * @param unixMs wall clock, in Unix milliseconds
   */
  public UsageCounter(long windowMs, LongSupplier unixMs) {
    this.windowMs = windowMs;
    this.unixMs = unixMs;
  }

  /** Counts a request that an upstream has begun to run. */
  public synchronized void countStarted(String organisation) {
    if (windowMs > 0) {
      counts
          .computeIfAbsent(unixMs.getAsLong() / windowMs, w -> new HashMap<>())
          .merge(organisation, 1L, Long::sum);
    }
  }

  /** Returns the numbers of the windows before a given one that have counts, ascending. */
  synchronized List<Long> windowsBefore(long window) {
    return counts.keySet().stream().filter(w -> w < window).sorted().toList();
  }

  /** Removes and returns the counts of a window. */
  synchronized Map<String, Long> take(long window) {
    Map<String, Long> taken = counts.remove(window);
    return taken == null ? Map.of() : taken;
  }
}
