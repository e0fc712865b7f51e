package org.marigoldmill.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;

/**
 * Instances that share the limit of one engine through a simulated log, in virtual time.
 *
 * <p>Each answer of the engine reaches the instance that sent the request at once; a record of the
 * log reaches the other instances within {@value #READ_PAUSE_MS} ms.
 */
final class SimulatedFleet {
  static final String ENGINE = "e";
  static final long INCARNATION = 7;
  private static final long STEP_MS = 10;
  private static final long READ_PAUSE_MS = 300;
  private static final long PUBLISH_PERIOD_MS = 200;

  private record LogRecord(String author, DemandReport report, long readableAtMs) {}

  /** An instance with the demand that its callers and its submissions have for the engine. */
  final class Instance {
    private final String name;
    private final WarmupTable warmups =
        new WarmupTable(service -> warmup, new WarmupTolerance(1.5, 5));
    private final EngineLimits limits;
    private final long phaseMs;
    private long learnsAtMs = Long.MAX_VALUE;
    private int nextRecord;
    private boolean cut;
    double callsPerSecond;
    double backgroundPerSecond;
    int refusedCalls;
    int sentCalls;
    int sentBackground;

    private Instance(int number) {
      this.name = "instance-" + number;
      this.limits =
          new EngineLimits(name, name + "#1", warmups, new Random(random.nextLong()), nowMs);
      this.phaseMs = random.nextInt((int) READ_PAUSE_MS);
    }

    /** Cuts the instance off from the log, or ends the cut. */
    void cut(boolean value) {
      cut = value;
    }

    private void step() {
      if (learnsAtMs <= nowMs) {
        learnsAtMs = Long.MAX_VALUE;
        warmups.recordEntry(entry(coldUntilMs - nowMs), nowMs, nowMs);
      }
      if (!cut && (nowMs + phaseMs) % READ_PAUSE_MS < STEP_MS) {
        read();
      }
      if ((nowMs + phaseMs) % PUBLISH_PERIOD_MS < STEP_MS) {
        limits.reportDue(nowMs).filter(r -> !cut).ifPresent(r -> append(name, r));
      }
      offer(Urgency.CALL, callsPerSecond);
      offer(Urgency.BACKGROUND, backgroundPerSecond);
    }

    private void read() {
      while (nextRecord < log.size() && log.get(nextRecord).readableAtMs() <= nowMs) {
        int offset = nextRecord++;
        LogRecord next = log.get(offset);
        records++;
        limits.applyReport(next.author(), next.report(), offset, nowMs);
      }
      if (!logSilent) {
        limits.recordLogHeard(nowMs);
      }
    }

    private void offer(Urgency urgency, double perSecond) {
      for (double left = perSecond * STEP_MS / 1e3; left > 0; left--) {
        if (random.nextDouble() < left) {
          send(urgency);
        }
      }
    }

    private void send(Urgency urgency) {
      boolean limited = limits.isLimited(ENGINE) || limits.isCold(ENGINE, nowMs);
      if (!limits.tryAcquire(ENGINE, urgency, nowMs)) {
        refusedCalls += urgency == Urgency.CALL ? 1 : 0;
        return;
      }
      sentCalls += urgency == Urgency.CALL ? 1 : 0;
      sentBackground += urgency == Urgency.BACKGROUND ? 1 : 0;
      if (limited) {
        received.add(nowMs);
      }
      limits.recordAnswer(ENGINE, INCARNATION, engineLimit, nowMs);
    }
  }

  final List<Instance> instances = new ArrayList<>();
  private final Random random;
  private final List<LogRecord> log = new ArrayList<>();
  private final List<Long> received = new ArrayList<>();
  private OptionalDouble engineLimit = OptionalDouble.empty();
  private Optional<DeploymentConfig.Warmup> warmup = Optional.empty();
  private long coldUntilMs;
  private boolean logSilent;
  private long nowMs = 1_000_000;
  private long records;

  SimulatedFleet(int size, long seed) {
    this.random = new Random(seed);
    for (int i = 0; i < size; i++) {
      Instance instance = new Instance(i);
      instances.add(instance);
      append(instance.name, instance.limits.presence());
    }
  }

  /** Sets what the engine names in its answers from now on; NaN for no limit. */
  void name(double requestsPerSecond) {
    engineLimit =
        Double.isNaN(requestsPerSecond)
            ? OptionalDouble.empty()
            : OptionalDouble.of(requestsPerSecond);
  }

  /**
   * Makes the engine cold for some time.
   *
   * @param requestsPerSecond requests a second that it accepts meanwhile
   * @param learnMs time within which each instance reads its entry, cut off or not
   */
  void becomeCold(double requestsPerSecond, long durationMs, int learnMs) {
    warmup = Optional.of(new DeploymentConfig.Warmup(durationMs, requestsPerSecond));
    coldUntilMs = nowMs + durationMs;
    instances.forEach(i -> i.learnsAtMs = nowMs + random.nextInt(learnMs));
  }

  private static Engine entry(long warmupLeftMs) {
    return new Engine(
        ENGINE, INCARNATION, "s", "v1", "a:1", "z", 8, false, false, Map.of(), warmupLeftMs);
  }

  /** Makes the log lose all appends, or store them again. */
  void logSilent(boolean value) {
    logSilent = value;
  }

  void run(double seconds) {
    long endMs = nowMs + Math.round(1e3 * seconds);
    for (; nowMs < endMs; nowMs += STEP_MS) {
      instances.forEach(Instance::step);
    }
  }

  /** Forgets what has been counted so far. */
  void startCounting() {
    received.clear();
    records = 0;
    instances.forEach(
        i -> {
          i.sentCalls = 0;
          i.sentBackground = 0;
          i.refusedCalls = 0;
        });
  }

  /** Returns the most requests that told instances sent in some four seconds. */
  int mostInFourSeconds() {
    return mostWithin(4_000);
  }

  /** Returns the most requests that told instances sent within some period of a length. */
  int mostWithin(long periodMs) {
    int most = 0;
    int first = 0;
    for (int i = 0; i < received.size(); i++) {
      while (received.get(i) - received.get(first) >= periodMs) {
        first++;
      }
      most = Math.max(most, i - first + 1);
    }
    return most;
  }

  int sent() {
    return instances.stream().mapToInt(i -> i.sentCalls + i.sentBackground).sum();
  }

  int sentCalls() {
    return instances.stream().mapToInt(i -> i.sentCalls).sum();
  }

  int refusedCalls() {
    return instances.stream().mapToInt(i -> i.refusedCalls).sum();
  }

  /** Returns the records that an instance has read, on average. */
  double recordsReadByEach() {
    return (double) records / instances.size();
  }

  private void append(String author, DemandReport report) {
    if (!logSilent) {
      log.add(new LogRecord(author, report, nowMs + 10 + random.nextInt(30)));
    }
  }

  /** Returns how many instances believe that the engine is limited. */
  long believers() {
    Map<Boolean, Long> counts = new HashMap<>();
    instances.forEach(i -> counts.merge(i.limits.isLimited(ENGINE), 1L, Long::sum));
    return counts.getOrDefault(true, 0L);
  }
}
