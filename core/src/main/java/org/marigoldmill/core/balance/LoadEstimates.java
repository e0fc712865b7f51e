package org.marigoldmill.core.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the load of engines now, from reports that are a little old.
 *
 * <p>Answers the load of many instances that see the same few engines, each only as often as it
 * sends requests there. A report says what it says for about as long as a request takes: later, the
 * requests that it counted have ended and others have come. So what it says of others' requests
 * decays, with the time of a request as time constant (the autocorrelation of the number of
 * requests in an M/M/∞ system), toward the engine's usual load, and that, more slowly, toward the
 * average of its service. An engine of which nothing is known counts as average, not as idle. Own
 * requests are known and count in full.
 *
 * <p>Not thread-safe. Times are readings of a monotonic clock in milliseconds.
 */
public final class LoadEstimates {
  /** Time in which a request takes up what its answer said, in milliseconds. */
  private static final double DEFAULT_WORK_MS = 50;

  private static final double MIN_WORK_MS = 1;

  /** Time constant with which the usual load and pace of an engine become those of its service. */
  private static final double ENGINE_MEMORY_MS = 10_000;

  /** The slowdown of a shared machine changes many times a second. */
  private static final double SLOWDOWN_MEMORY_MS = 100;

  private static final int ASSUMED_SLOTS = 8;
  private static final double ENGINE_SMOOTHING = 0.2;
  private static final double SERVICE_SMOOTHING = 0.05;
  private static final double MAX_PACE = 8;

  private static final class Average {
    private final double smoothing;
    private double value;
    private int count;

    private Average(double smoothing) {
      this.smoothing = smoothing;
    }

    /** Weighs the first values equally, so that the average does not start at the first one. */
    private void add(double next) {
      count++;
      value += Math.max(smoothing, 1.0 / count) * (next - value);
    }

    private double or(double unknown) {
      return count == 0 ? unknown : value;
    }
  }

  private static final class Service {
    private final Average utilisation = new Average(SERVICE_SMOOTHING);
    private final Average workMs = new Average(SERVICE_SMOOTHING);
    private int slots = ASSUMED_SLOTS;
  }

  private static final class EngineState {
    private final Service service;
    private final long incarnation;
    private final Average othersLoad = new Average(ENGINE_SMOOTHING);
    private final Average pace = new Average(ENGINE_SMOOTHING);
    private final Average slowdown = new Average(ENGINE_SMOOTHING);
    private LoadReport report;
    private double othersAtReport;
    private long reportedAtMs;

    private EngineState(Service service, long incarnation) {
      this.service = service;
      this.incarnation = incarnation;
    }
  }

  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, EngineState> engines = new HashMap<>();

  /**
   * Records a report; one of a former incarnation is ignored.
   *
   * @param service service of the engine
   * @param engine id of the engine
   * @param incarnation start time of the engine that reports
   * @param own requests of this instance outstanding there
   */
  public void recordReport(
      String service, String engine, long incarnation, LoadReport report, int own, long nowMs) {
    EngineState state = engines.get(engine);
    if (state != null && state.incarnation > incarnation) {
      return;
    }
    if (state == null || state.incarnation < incarnation) {
      state = new EngineState(service(service), incarnation);
      engines.put(engine, state);
    }
    state.report = report;
    state.reportedAtMs = nowMs;
    state.othersAtReport = Math.max(0, report.running() + report.waiting() - own);
    state.othersLoad.add(state.othersAtReport);
    state.slowdown.add(report.slowdown());
    if (report.slots() > 0) {
      state.service.slots = report.slots();
    }
    state.service.utilisation.add(state.othersAtReport / slots(state));
  }

  /**
   * Records how long a request took that an engine answered.
   *
   * @param responseMs time from sending the request to its answer, in milliseconds
   */
  public void recordResponse(String service, String engine, double responseMs) {
    EngineState state = engines.get(engine);
    if (state != null && state.report.waiting() > 0) {
      return;
    }
    Average usual = service(service).workMs;
    if (state != null && usual.count > 0) {
      state.pace.add(Math.min(MAX_PACE, responseMs / Math.max(MIN_WORK_MS, usual.value)));
    }
    usual.add(responseMs);
  }

  /**
   * Records that an engine refused a request because it is full.
   *
   * @param own requests of this instance outstanding there
   */
  public void recordRefusal(String service, String engine, int own, long nowMs) {
    EngineState state = engines.get(engine);
    if (state != null && isFull(state, nowMs)) {
      return;
    }
    int slots = state == null ? service(service).slots : slots(state);
    double slowdown = state == null ? 1 : state.report.slowdown();
    long incarnation = state == null ? Long.MIN_VALUE : state.incarnation;
    recordReport(
        service, engine, incarnation, new LoadReport(slots, 1, slots, slowdown), own, nowMs);
  }

  /** Forgets all engines but the listed ones. */
  public void retain(Set<String> listed) {
    engines.keySet().retainAll(listed);
  }

  /**
   * Estimates the load of an engine.
   *
   * @param own requests of this instance outstanding there
   */
  public LoadEstimate estimate(String service, String engine, int own, long nowMs) {
    Service usual = service(service);
    double usualWorkMs = Math.max(MIN_WORK_MS, usual.workMs.or(DEFAULT_WORK_MS));
    EngineState state = engines.get(engine);
    if (state == null) {
      double others = usual.utilisation.or(0) * usual.slots;
      return new LoadEstimate(
          own + others, Math.sqrt(others), usual.slots, usualWorkMs, Long.MAX_VALUE, false);
    }
    long ageMs = Math.max(0, nowMs - state.reportedAtMs);
    int slots = slots(state);
    double recent = Math.exp(-ageMs / usualWorkMs);
    double remembered = Math.exp(-ageMs / ENGINE_MEMORY_MS);
    double average = usual.utilisation.or(0) * slots;
    double expected = average + remembered * (state.othersLoad.or(average) - average);
    double others = expected + recent * (state.othersAtReport - expected);
    double deviation = Math.sqrt(expected * (1 - recent * recent));
    double momentary = state.report.slowdown() / state.slowdown.value - 1;
    double pace =
        (1 + remembered * (state.pace.or(1) - 1))
            * (1 + momentary * Math.exp(-ageMs / SLOWDOWN_MEMORY_MS));
    return new LoadEstimate(
        own + others, deviation, slots, usualWorkMs * pace, ageMs, isFull(state, nowMs));
  }

  /** Returns the slots that others' requests usually leave free at the engines of a service. */
  public double usualFreeSlots(String service, int engineCount) {
    Service usual = service(service);
    return Math.max(0, 1 - usual.utilisation.or(0)) * usual.slots * engineCount;
  }

  /** Returns the time that a request of a service usually takes, in milliseconds. */
  public double usualWorkMs(String service) {
    return Math.max(MIN_WORK_MS, service(service).workMs.or(DEFAULT_WORK_MS));
  }

  /** Returns whether the engine had a queue a moment ago, which is less than a request takes. */
  private static boolean isFull(EngineState state, long nowMs) {
    double freshMs = Math.max(MIN_WORK_MS, state.service.workMs.or(DEFAULT_WORK_MS));
    return state.report.full() && nowMs - state.reportedAtMs <= freshMs;
  }

  private static int slots(EngineState state) {
    return state.report.slots() > 0 ? state.report.slots() : state.service.slots;
  }

  private Service service(String name) {
    return services.computeIfAbsent(name, n -> new Service());
  }
}
