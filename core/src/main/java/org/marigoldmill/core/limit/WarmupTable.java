package org.marigoldmill.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;

/**
 * Which engines are cold, and for how long as far as is known.
 *
 * <p>An engine is cold until the time that it has named, in its entry or in an answer; later news
 * prolong that, and only an answer that says so ends it early, because entries lag behind. An
 * engine whose first entry says nothing is cold for the whole duration after its start. What other
 * instances say is kept apart from what this one has heard from the engine, so that news do not
 * grow older by being passed on. Times are readings of a monotonic clock in milliseconds.
 */
public final class WarmupTable {
  private static final class Entry {
    private final long incarnation;
    private String service = "";
    private long heardUntilMs = Long.MIN_VALUE;
    private long toldUntilMs = Long.MIN_VALUE;

    private Entry(long incarnation) {
      this.incarnation = incarnation;
    }

    private long untilMs() {
      return Math.max(heardUntilMs, toldUntilMs);
    }
  }

  private final Function<String, Optional<DeploymentConfig.Warmup>> warmupOf;
  private final WarmupTolerance tolerance;
  private final Map<String, Entry> entries = new HashMap<>();

  /** Time from which on no engine is cold; read without a lock, because it is asked for often. */
  private volatile long allWarmFromMs = Long.MIN_VALUE;

  /**
   * Creates an empty table.
   *
   * @param warmupOf how the engines of a service warm up, by name of the service
   * @param tolerance what a cold engine tolerates beyond its rate
   */
  public WarmupTable(
      Function<String, Optional<DeploymentConfig.Warmup>> warmupOf, WarmupTolerance tolerance) {
    this.warmupOf = warmupOf;
    this.tolerance = tolerance;
  }

  /** Returns what a cold engine tolerates beyond its rate. */
  public WarmupTolerance tolerance() {
    return tolerance;
  }

  /**
   * Records an engine's entry that has just been read.
   *
   * @param unixMs present time of the wall clock, in Unix milliseconds
   */
  public synchronized void recordEntry(Engine engine, long unixMs, long nowMs) {
    Entry entry = current(engine.id(), engine.incarnation()).orElse(null);
    if (entry == null) {
      return;
    }
    boolean first = entry.service.isEmpty();
    entry.service = engine.service();
    if (engine.warmupLeftMs() > 0) {
      hear(entry, nowMs + engine.warmupLeftMs());
    } else if (engine.warmupLeftMs() < 0 && first) {
      long ageMs = Math.max(0, unixMs - engine.incarnation());
      long durationMs =
          warmupOf.apply(engine.service()).map(DeploymentConfig.Warmup::durationMs).orElse(0L);
      hear(entry, nowMs + durationMs - ageMs);
    }
  }

  /**
   * Records an answer in which an engine says how long it stays cold.
   *
   * @param leftMs time in milliseconds; 0 if it is warm
   */
  public synchronized void recordAnswer(String engine, long incarnation, long leftMs, long nowMs) {
    Entry entry = current(engine, incarnation).orElse(null);
    if (entry == null) {
      return;
    }
    if (leftMs > 0) {
      hear(entry, nowMs + leftMs);
    } else {
      entry.heardUntilMs = Math.min(entry.heardUntilMs, nowMs);
      entry.toldUntilMs = Math.min(entry.toldUntilMs, nowMs);
    }
  }

  /** Records what another instance has heard from an engine itself. */
  public synchronized void recordTold(String engine, long incarnation, long leftMs, long nowMs) {
    if (leftMs > 0) {
      Entry entry = current(engine, incarnation).orElse(null);
      if (entry != null) {
        entry.toldUntilMs = Math.max(entry.toldUntilMs, nowMs + leftMs);
        allWarmFromMs = Math.max(allWarmFromMs, entry.toldUntilMs);
      }
    }
  }

  /** Forgets an engine that is gone. */
  public synchronized void remove(String engine) {
    entries.remove(engine);
  }

  /**
   * Returns the requests a second that a cold engine accepts from all instances together; empty if
   * it is warm or its service has no warm-up.
   */
  public OptionalDouble requestsPerSecond(String engine, long nowMs) {
    return nowMs >= allWarmFromMs ? OptionalDouble.empty() : rate(engine, nowMs);
  }

  private synchronized OptionalDouble rate(String engine, long nowMs) {
    Entry entry = entries.get(engine);
    if (entry == null || entry.untilMs() <= nowMs) {
      return OptionalDouble.empty();
    }
    return warmupOf
        .apply(entry.service)
        .map(w -> OptionalDouble.of(w.requestsPerSecond()))
        .orElse(OptionalDouble.empty());
  }

  private void hear(Entry entry, long untilMs) {
    entry.heardUntilMs = Math.max(entry.heardUntilMs, untilMs);
    allWarmFromMs = Math.max(allWarmFromMs, entry.heardUntilMs);
  }

  /** Returns how long an engine stays cold as far as this process has heard it from the engine. */
  public synchronized long heardLeftMs(String engine, long nowMs) {
    Entry entry = entries.get(engine);
    return entry == null || entry.heardUntilMs <= nowMs ? 0 : entry.heardUntilMs - nowMs;
  }

  /** Returns the incarnation of an engine that is known, or 0 if there is none. */
  synchronized long incarnation(String engine) {
    Entry entry = entries.get(engine);
    return entry == null ? 0 : entry.incarnation;
  }

  /** Returns the cold engines. */
  public synchronized Set<String> coldEngines(long nowMs) {
    Set<String> cold = new TreeSet<>();
    entries.keySet().stream()
        .filter(e -> requestsPerSecond(e, nowMs).isPresent())
        .forEach(cold::add);
    return cold;
  }

  /** Returns the entry of an incarnation, or empty if a later one is known. */
  private Optional<Entry> current(String engine, long incarnation) {
    Entry known = entries.get(engine);
    if (known == null || known.incarnation < incarnation) {
      known = new Entry(incarnation);
      entries.put(engine, known);
    }
    return known.incarnation == incarnation ? Optional.of(known) : Optional.empty();
  }
}
