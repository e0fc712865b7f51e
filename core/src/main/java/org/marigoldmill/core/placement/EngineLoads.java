package org.marigoldmill.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What this process runs on each engine, how fast each generates, and the choice of one.
 *
 * <p>Times are readings of a monotonic clock in milliseconds.
 */
public final class EngineLoads {
  /** An engine that refused a request is not asked again for this long, in milliseconds. */
  public static final long REFUSAL_BACKOFF_MS = 60;

  private static final long FIRST_FAILURE_PAUSE_MS = 300;
  private static final long LONGEST_FAILURE_PAUSE_MS = 4_000;
  private static final double SMOOTHING = 0.2;

  private static final class Load {
    private int running;
    private int failures;
    private long pausedUntil = Long.MIN_VALUE;
    private double msPerEvent;
  }

  private final Map<String, Load> loads = new HashMap<>();

  /**
   * Chooses the engine that will finish one more request first, and counts the request there.
   *
   * @param candidates engines that suit the request
   * @param zone zone of this process, preferred among equals
   * @param now present time
   * @return an engine, or empty when none has a free place
   */
  public synchronized Optional<Engine> acquire(List<Engine> candidates, String zone, long now) {
    Comparator<Engine> fastest = Comparator.comparingDouble(this::cost);
    Comparator<Engine> near = Comparator.comparing(e -> !e.zone().equals(zone));
    Optional<Engine> chosen =
        candidates.stream()
            .filter(e -> free(e, now))
            .min(fastest.thenComparing(near).thenComparing(Engine::id));
    chosen.ifPresent(e -> load(e.id()).running++);
    return chosen;
  }

  /** Counts a request as ended, whatever its outcome. */
  public synchronized void release(String engine) {
    load(engine).running--;
  }

  /** Notes that an engine refused a request without running it. */
  public synchronized void recordRefusal(String engine, long now) {
    Load load = load(engine);
    load.pausedUntil = Math.max(load.pausedUntil, now + REFUSAL_BACKOFF_MS);
  }

  /** Notes that a request was lost at an engine. */
  public synchronized void recordFailure(String engine, long now) {
    Load load = load(engine);
    load.failures++;
    long pause = FIRST_FAILURE_PAUSE_MS << Math.min(load.failures - 1, 4);
    load.pausedUntil = now + Math.min(pause, LONGEST_FAILURE_PAUSE_MS);
  }

  /** Notes that an engine generated events. */
  public synchronized void recordProgress(String engine, double msPerEvent) {
    Load load = load(engine);
    load.failures = 0;
    load.msPerEvent =
        load.msPerEvent == 0
            ? msPerEvent
            : load.msPerEvent + SMOOTHING * (msPerEvent - load.msPerEvent);
  }

  /** Returns the time that an engine takes for an event, in milliseconds; 0 when unknown. */
  public synchronized double msPerEvent(String engine) {
    Load load = loads.get(engine);
    return load == null ? 0 : load.msPerEvent;
  }

  /** Returns the requests that this process runs on an engine. */
  public synchronized int runningRequests(String engine) {
    Load load = loads.get(engine);
    return load == null ? 0 : load.running;
  }

  private boolean free(Engine engine, long now) {
    Load load = load(engine.id());
    return load.running < engine.slots() && load.pausedUntil <= now;
  }

  /** Compares engines by their time for an event under one request more. */
  private double cost(Engine engine) {
    Load load = load(engine.id());
    double speed = load.msPerEvent == 0 ? 1 : load.msPerEvent;
    return (load.running + 1) * speed;
  }

  private Load load(String engine) {
    return loads.computeIfAbsent(engine, e -> new Load());
  }
}
