package org.marigoldmill.server.duty;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/** Counts requests that have begun, by usage window of the wall clock and organisation. */
public final class UsageCounter {
  private final long windowMs;
  private final LongSupplier unixMs;
  private final Map<Long, Map<String, Long>> counts = new HashMap<>();

  /**
   * Creates a counter.
   *
   * @param windowMs length of a window in milliseconds; 0 counts nothing
   * @param unixMs time of day in Unix milliseconds
   */
  public UsageCounter(long windowMs, LongSupplier unixMs) {
    this.windowMs = windowMs;
    this.unixMs = unixMs;
  }

  /** Counts a request that an upstream has begun to run. */
  public synchronized void began(String organisation) {
    if (windowMs > 0) {
      counts
          .computeIfAbsent(unixMs.getAsLong() / windowMs, w -> new HashMap<>())
          .merge(organisation, 1L, Long::sum);
    }
  }

  /** Returns the windows with counts that ended at least a time ago, in milliseconds. */
  public synchronized List<Long> ended(long agoMs) {
    long present = (unixMs.getAsLong() - agoMs) / windowMs;
    return counts.keySet().stream().filter(w -> w < present).sorted().toList();
  }

  /** Returns and forgets the counts of a window. */
  public synchronized Map<String, Long> take(long window) {
    Map<String, Long> taken = counts.remove(window);
    return taken == null ? Map.of() : taken;
  }

  /** Puts counts back that could not be told. */
  public synchronized void putBack(long window, Map<String, Long> taken) {
    Map<String, Long> kept = counts.computeIfAbsent(window, w -> new HashMap<>());
    taken.forEach((organisation, n) -> kept.merge(organisation, n, Long::sum));
  }
}
