package org.marigoldmill.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The request limit that each engine named last, and the attempts that this process sent it
 * meanwhile.
 *
 * <p>A limit belongs to an incarnation: answers of an earlier one are ignored, and a later one
 * starts without a limit. Times are readings of a monotonic clock in milliseconds.
 */
public final class NamedLimits {
  private static final class Entry {
    private final long incarnation;
    private OptionalDouble limit = OptionalDouble.empty();
    private long saidAtMs = Long.MIN_VALUE;
    private long sinceMs;
    private long attempts;

    private Entry(long incarnation, long sinceMs) {
      this.incarnation = incarnation;
      this.sinceMs = sinceMs;
    }
  }

  /**
   * A change of the limit that an engine names.
   *
   * @param before limit until now, in requests a second; empty for none
   * @param after limit from now on, in requests a second; empty for none
   * @param attempts attempts that this process sent while the former limit was named
   * @param periodMs time since the change before, in milliseconds
   */
  public record Change(OptionalDouble before, OptionalDouble after, long attempts, long periodMs) {}

  private final Map<String, Entry> entries = new HashMap<>();

  /** Creates an empty table. */
  public NamedLimits() {}

  /** Counts an attempt that is about to be sent to an engine. */
  public synchronized void countAttempt(String engine, long incarnation, long nowMs) {
    current(engine, incarnation, nowMs).ifPresent(e -> e.attempts++);
  }

  /**
   * Records an answer of an engine.
   *
   * @param limit limit that the answer names, in requests a second; empty if it names none
   * @return the change, or empty if the engine names the same as before
   */
  public synchronized Optional<Change> recordAnswer(
      String engine, long incarnation, OptionalDouble limit, long nowMs) {
    return record(engine, incarnation, limit, nowMs, nowMs);
  }

  /**
   * Records what another instance heard from an engine; ignored if this process has heard from the
   * engine since.
   *
   * @param saidAtMs when the engine gave the answer
   */
  public synchronized Optional<Change> recordReport(
      String engine, long incarnation, OptionalDouble limit, long saidAtMs, long nowMs) {
    return record(engine, incarnation, limit, saidAtMs, nowMs);
  }

  /** Returns the limit that an engine names, in requests a second; empty if it names none. */
  public synchronized OptionalDouble limit(String engine) {
    Entry entry = entries.get(engine);
    return entry == null ? OptionalDouble.empty() : entry.limit;
  }

  /** Returns the incarnation that named the limit of an engine, or 0 if the engine is unknown. */
  public synchronized long incarnation(String engine) {
    Entry entry = entries.get(engine);
    return entry == null ? 0 : entry.incarnation;
  }

  /** Returns when an engine said what is known of its limit. */
  public synchronized long saidAtMs(String engine) {
    Entry entry = entries.get(engine);
    return entry == null ? Long.MIN_VALUE : entry.saidAtMs;
  }

  private Optional<Change> record(
      String engine, long incarnation, OptionalDouble limit, long saidAtMs, long nowMs) {
    Entry entry = current(engine, incarnation, nowMs).orElse(null);
    if (entry == null || saidAtMs < entry.saidAtMs) {
      return Optional.empty();
    }
    entry.saidAtMs = saidAtMs;
    if (entry.limit.equals(limit)) {
      return Optional.empty();
    }
    final Change change = new Change(entry.limit, limit, entry.attempts, nowMs - entry.sinceMs);
    entry.limit = limit;
    entry.sinceMs = nowMs;
    entry.attempts = 0;
    return Optional.of(change);
  }

  /** Forgets an engine that is gone. */
  public synchronized void remove(String engine) {
    entries.remove(engine);
  }

  /** Returns the entry of an incarnation, or empty if a later one is known. */
  private Optional<Entry> current(String engine, long incarnation, long nowMs) {
    Entry known = entries.get(engine);
    if (known == null || known.incarnation < incarnation) {
      known = new Entry(incarnation, nowMs);
      entries.put(engine, known);
    }
    return known.incarnation == incarnation ? Optional.of(known) : Optional.empty();
  }
}
