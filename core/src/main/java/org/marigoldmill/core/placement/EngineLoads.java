package org.marigoldmill.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks this process's requests and the generation speed of each engine, and chooses engines.
 *
 * <p>Answers the load of engines of unequal speed that batch: the time of an event depends on the
 * engine, and little on the number of requests there, until the slots are in use. Requests that are
 * placed longest first then end soonest at the fastest engine that has a free slot, however many
 * run there already.
 *
 * <p>Times are readings of a monotonic clock in milliseconds.
 */
public final class EngineLoads {
  /** Time for which an engine gets no requests after it refused one, in milliseconds. */
  public static final long REFUSAL_BACKOFF_MS = 60;

  private static final long INITIAL_FAILURE_BACKOFF_MS = 300;
  private static final long MAX_FAILURE_BACKOFF_MS = 4_000;
  private static final double SMOOTHING_FACTOR = 0.2;

  /** Share by which an event takes longer while all slots are in use; spreads equal engines. */
  private static final double FULL_SLOWDOWN = 0.25;

  /** More than one, as a request may be unanswered for a reason of its own, and again each time. */
  private static final int MAX_PROBES = 2;

  private static final class Load {
    private int running;
    private int failures;
    private boolean unanswered;
    private long backoffUntilMs = Long.MIN_VALUE;
    private double msPerEvent;
  }

  private final Map<String, Load> loads = new HashMap<>();

  /**
   * Chooses the engine with the lowest expected time for an event of one more request, and reserves
   * a slot there. An engine that left its last request unanswered comes after all others.
   *
   * @param candidates engines that can serve the request
   * @param zone zone of this process; preferred among engines of equal time
   * @param nowMs current time
   * @return the engine, or empty if none has a free slot and is out of back-off
   */
  public synchronized Optional<Engine> acquire(List<Engine> candidates, String zone, long nowMs) {
    Comparator<Engine> answeringFirst = Comparator.comparing(e -> load(e.id()).unanswered);
    Comparator<Engine> localFirst = Comparator.comparing(e -> !e.zone().equals(zone));
    Optional<Engine> chosen =
        candidates.stream()
            .filter(e -> freeSlots(e, nowMs) > 0)
            .min(
                answeringFirst
                    .thenComparingDouble(this::msPerEventWithOneMore)
                    .thenComparing(localFirst)
                    .thenComparing(Engine::id));
    chosen.ifPresent(e -> load(e.id()).running++);
    return chosen;
  }

  /** Releases the slot of a request, whatever its outcome. */
  public synchronized void release(String engine) {
    load(engine).running--;
  }

  /** Records that an engine refused a request without running it, which starts a short back-off. */
  public synchronized void recordRefusal(String engine, long nowMs) {
    Load load = load(engine);
    load.backoffUntilMs = Math.max(load.backoffUntilMs, nowMs + REFUSAL_BACKOFF_MS);
  }

  /**
   * Records a request without an answer, as of an engine out of reach; the back-off doubles with
   * each consecutive failure.
   */
  public synchronized void recordUnanswered(String engine, long nowMs) {
    recordFailure(engine, nowMs);
    load(engine).unanswered = true;
  }

  /** Records a failed request; the back-off doubles with each consecutive failure. */
  public synchronized void recordFailure(String engine, long nowMs) {
    Load load = load(engine);
    load.failures++;
    long backoffMs = INITIAL_FAILURE_BACKOFF_MS << Math.min(load.failures - 1, 4);
    load.backoffUntilMs = nowMs + Math.min(backoffMs, MAX_FAILURE_BACKOFF_MS);
  }

  /** Records that an engine completed a request, which resets its count of failures. */
  public synchronized void recordCompleted(String engine) {
    Load load = load(engine);
    load.failures = 0;
    load.unanswered = false;
  }

  /**
   * Records that an engine generated events, which resets its count of failures.
   *
   * @param engine id of the engine
   * @param msPerEvent measured time for an event, in milliseconds
   */
  public synchronized void recordProgress(String engine, double msPerEvent) {
    Load load = load(engine);
    load.failures = 0;
    load.unanswered = false;
    load.msPerEvent =
        load.msPerEvent == 0
            ? msPerEvent
            : load.msPerEvent + SMOOTHING_FACTOR * (msPerEvent - load.msPerEvent);
  }

  /** Takes over the time that an engine took for other processes, unless it is known here. */
  public synchronized void assumeSpeed(String engine, double msPerEvent) {
    Load load = load(engine);
    if (load.msPerEvent == 0) {
      load.msPerEvent = msPerEvent;
    }
  }

  /** Returns the smoothed time that an engine takes for an event, in milliseconds; 0 if unknown. */
  public synchronized double msPerEvent(String engine) {
    Load load = loads.get(engine);
    return load == null ? 0 : load.msPerEvent;
  }

  /** Returns the number of requests that this process is running on an engine. */
  public synchronized int runningRequests(String engine) {
    Load load = loads.get(engine);
    return load == null ? 0 : load.running;
  }

  /**
   * Returns how many more requests an engine may get now.
   *
   * <p>An engine that left its last request unanswered gets few, which find out whether it answers:
   * others would wait as long for nothing.
   */
  public synchronized int freeSlots(Engine engine, long nowMs) {
    Load load = load(engine.id());
    if (load.backoffUntilMs > nowMs) {
      return 0;
    }
    int slots = load.unanswered ? Math.min(MAX_PROBES, engine.slots()) : engine.slots();
    return Math.max(0, slots - load.running);
  }

  /** Returns the expected time for an event with one more request; unknown times count as 1 ms. */
  private double msPerEventWithOneMore(Engine engine) {
    Load load = load(engine.id());
    double msPerEvent = load.msPerEvent == 0 ? 1 : load.msPerEvent;
    double usedShare = (load.running + 1.0) / engine.slots();
    return msPerEvent * (1 + FULL_SLOWDOWN * usedShare);
  }

  private Load load(String engine) {
    return loads.computeIfAbsent(engine, e -> new Load());
  }
}
