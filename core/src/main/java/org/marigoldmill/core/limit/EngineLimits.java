package org.marigoldmill.core.limit;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Keeps the request limits of engines together with the other instances.
 *
 * <p>Every request to an engine asks {@link #tryAcquire} first. Through the store the instances
 * tell each other which limits they have heard of and how many requests they had for these engines
 * ({@link DemandReport}); everybody sums them up, and {@link LimitShare} is the part of each. The
 * state holds one sum an engine, not one an instance. At a cold engine a request needs a turn of
 * {@link ColdEngineTurns} as well, so that the lower of both limits holds. Times are readings of a
 * monotonic clock in milliseconds.
 */
public final class EngineLimits {
  /** An engine that accepts nothing would never be heard to accept requests again. */
  private static final double MIN_LIMIT_PER_S = 0.2;

  /** Number of instances to assume before the store has told it. */
  private static final int UNKNOWN_INSTANCES = 100;

  private static final int MAX_ENGINES_PER_REPORT = 64;

  /** Time that a report may take from its author to its readers, in milliseconds. */
  private static final long TRANSIT_MS = 500;

  /** Silence of the log from which on shares stay as they are; longer than a read waits. */
  private static final long SILENCE_MS = 2_600;

  /** Silence of the log after which the others have divided this instance's share. */
  private static final long MAX_SILENCE_MS = 5_000;

  private static final double MAX_CREDIT = 2;

  /** Requests of one urgency to one engine. */
  private static final class Gate {
    private final DemandMeter own;
    private final DemandMeter all;
    private final TokenBucket bucket;
    private Optional<LimitShare> share = Optional.empty();
    private double unreported;
    private double credit;

    /** Starts at a random point, so that instances that start together do not act together. */
    private Gate(RandomGenerator random, long nowMs) {
      this.own = new DemandMeter(nowMs);
      this.all = new DemandMeter(nowMs);
      this.bucket = new TokenBucket(random.nextDouble(), nowMs);
      this.credit = random.nextDouble();
    }

    /** Lets a part of the requests pass, evenly spread. */
    private boolean passes(double ratio) {
      if (ratio >= 1) {
        return true;
      }
      credit = Math.min(MAX_CREDIT, credit + ratio);
      if (credit < 1) {
        return false;
      }
      credit--;
      return true;
    }

    private double takeUnreported() {
      double taken = unreported;
      unreported = 0;
      return taken;
    }
  }

  /** An engine while it names a limit. */
  private static final class Limited {
    private final long incarnation;
    private final Map<Urgency, Gate> gates = new EnumMap<>(Urgency.class);
    private boolean told;

    private Limited(long incarnation, RandomGenerator random, long nowMs) {
      this.incarnation = incarnation;
      for (Urgency urgency : Urgency.values()) {
        gates.put(urgency, new Gate(random, nowMs));
      }
    }

    private Gate gate(Urgency urgency) {
      return gates.get(urgency);
    }

    private boolean hasUnreported() {
      return gates.values().stream().anyMatch(g -> g.unreported > 0);
    }
  }

  private record Sent(DemandReport report, long atMs) {}

  private final String instance;
  private final String process;
  private final RandomGenerator random;
  private final NamedLimits named = new NamedLimits();
  private final Map<String, Limited> limited = new HashMap<>();
  private final Map<String, Long> liftedAtMs = new HashMap<>();
  private final Set<String> instances = new HashSet<>();
  private final ReportPace pace;
  private final WarmupTable warmups;
  private final ColdEngineTurns coldTurns;
  private int knownInstances;
  private Optional<Sent> unconfirmed = Optional.empty();
  private long nextNumber;
  private long heardAtMs;

  /**
   * Creates the limits of one instance.
   *
   * @param instance name of the instance
   * @param process run of its process; unique
   * @param warmups which engines are cold
   */
  public EngineLimits(
      String instance, String process, WarmupTable warmups, RandomGenerator random, long nowMs) {
    this.instance = instance;
    this.process = process;
    this.random = random;
    this.pace = new ReportPace(nowMs);
    this.warmups = warmups;
    this.coldTurns = new ColdEngineTurns(warmups, random);
    this.heardAtMs = nowMs - MAX_SILENCE_MS;
  }

  /** Counts an attempt that is about to be sent to an engine. */
  public synchronized void countAttempt(String engine, long incarnation, long nowMs) {
    named.countAttempt(engine, incarnation, nowMs);
  }

  /**
   * Records the limit that an answer of an engine names.
   *
   * @param limit limit in requests a second; empty if the answer names none
   * @return the change, or empty if the engine names the same as before
   */
  public synchronized Optional<NamedLimits.Change> recordAnswer(
      String engine, long incarnation, OptionalDouble limit, long nowMs) {
    Optional<NamedLimits.Change> change = named.recordAnswer(engine, incarnation, limit, nowMs);
    if (change.isPresent() && limit.isEmpty()) {
      liftedAtMs.put(engine, nowMs);
    }
    update(engine, nowMs);
    return change;
  }

  /** Forgets an engine that is gone or has started again. */
  public synchronized void remove(String engine) {
    named.remove(engine);
    limited.remove(engine);
    liftedAtMs.remove(engine);
    warmups.remove(engine);
  }

  /** Returns whether an engine names a limit. */
  public synchronized boolean isLimited(String engine) {
    return limited.containsKey(engine);
  }

  /** Returns whether an engine is cold, so that a warm one with room is to be preferred. */
  public boolean isCold(String engine, long nowMs) {
    return warmups.requestsPerSecond(engine, nowMs).isPresent();
  }

  /** Counts a request for an engine, and returns whether it may be sent there now. */
  public synchronized boolean tryAcquire(String engine, Urgency urgency, long nowMs) {
    boolean acquired =
        coldTurns.available(engine, urgency, knownInstances, nowMs)
            && tryAcquireNamed(engine, urgency, nowMs);
    if (acquired) {
      coldTurns.take(engine, knownInstances, nowMs);
    }
    return acquired;
  }

  private boolean tryAcquireNamed(String engine, Urgency urgency, long nowMs) {
    Limited state = limited.get(engine);
    if (state == null) {
      return true;
    }
    Gate gate = state.gate(urgency);
    count(gate, limit(engine), nowMs);
    LimitShare share = share(engine, state, urgency, nowMs);
    gate.bucket.setRate(share.requestsPerSecond(), share.burst(), nowMs);
    return gate.passes(share.passRatio()) && gate.bucket.tryTake(nowMs);
  }

  /**
   * Returns how long a request would wait for its turn at an engine, in milliseconds; empty if that
   * cannot be said, because the engine is cold or the instance lets only a part of its requests
   * pass.
   */
  public synchronized OptionalLong waitMs(String engine, Urgency urgency, long nowMs) {
    if (coldTurns.isCold(engine, nowMs)) {
      return OptionalLong.empty();
    }
    Limited state = limited.get(engine);
    if (state == null) {
      return OptionalLong.of(0);
    }
    LimitShare share = share(engine, state, urgency, nowMs);
    TokenBucket bucket = state.gate(urgency).bucket;
    bucket.setRate(share.requestsPerSecond(), share.burst(), nowMs);
    return share.passRatio() < 1 ? OptionalLong.empty() : OptionalLong.of(bucket.waitMs(nowMs));
  }

  /** Takes the next turn at an engine, which comes after {@link #waitMs}. */
  public synchronized void acquireAhead(String engine, Urgency urgency, long nowMs) {
    Limited state = limited.get(engine);
    if (state != null) {
      state.gate(urgency).bucket.takeAhead(nowMs);
    }
  }

  /** Records that the log has been read to its end. */
  public synchronized void recordLogHeard(long nowMs) {
    heardAtMs = nowMs;
    coldTurns.recordLogHeard(nowMs);
    if (instances.contains(instance)) {
      knownInstances = instances.size();
    }
  }

  /**
   * Applies the report of an instance.
   *
   * @param offset offset of the report in the log
   */
  public synchronized void applyReport(
      String author, DemandReport report, long offset, long nowMs) {
    instances.add(author);
    if (report.engines().isEmpty() && report.claims().isEmpty()) {
      return;
    }
    pace.recordSeen(nowMs);
    report.engines().forEach(d -> applyDemand(d, nowMs));
    boolean own = report.process().equals(process);
    if (!own) {
      coldTurns.applyOthers(report.claims(), offset, nowMs);
    } else {
      coldTurns.applyOwn(report.number(), report.claims(), offset, nowMs);
      unconfirmed = unconfirmed.filter(s -> s.report().number() > report.number());
    }
  }

  /** Forgets an instance that has left. */
  public synchronized void removeInstance(String author) {
    instances.remove(author);
  }

  /** Forgets which instances there are, before the log is read anew. */
  public synchronized void resetInstances() {
    instances.clear();
    coldTurns.recordLogReset();
  }

  /** Returns the report to publish now, if any; to be called several times a second. */
  public synchronized Optional<DemandReport> reportDue(long nowMs) {
    boolean news =
        !liftedAtMs.isEmpty()
            || limited.values().stream().anyMatch(l -> !l.told && l.hasUnreported());
    boolean wanted = coldTurns.wantsTurns(nowMs);
    boolean counts = wanted || limited.values().stream().anyMatch(Limited::hasUnreported);
    boolean due = (news && pace.mayReportNews(nowMs)) || (counts && pace.mayReport(nowMs));
    if (!due) {
      return Optional.empty();
    }
    long number = nextNumber++;
    List<TurnClaim> claims = coldTurns.takeClaims(number, nowMs);
    DemandReport report = new DemandReport(process, number, takeDemand(nowMs), claims);
    pace.recordSent(nowMs);
    unconfirmed = Optional.of(unconfirmed.orElse(new Sent(report, nowMs)));
    return Optional.of(report);
  }

  /** Returns the report by which an instance tells that it exists. */
  public synchronized DemandReport presence() {
    return new DemandReport(process, nextNumber++, List.of(), List.of());
  }

  /** A request that is tried again and again counts as often as the engine could accept it. */
  private static void count(Gate gate, double limit, long nowMs) {
    if (gate.own.perSecond(nowMs) <= limit) {
      gate.own.add(1, nowMs);
      gate.unreported++;
    }
  }

  private void applyDemand(EngineDemand demand, long nowMs) {
    long saidAtMs = nowMs - TRANSIT_MS - demand.limitAgeMs();
    String engine = demand.engine();
    named.recordReport(engine, demand.incarnation(), demand.limit(), saidAtMs, nowMs);
    update(engine, nowMs);
    Limited state = limited.get(engine);
    if (state != null && state.incarnation == demand.incarnation()) {
      state.gate(Urgency.CALL).all.add(demand.calls(), nowMs);
      state.gate(Urgency.BACKGROUND).all.add(demand.background(), nowMs);
    }
  }

  /** Begins or ends to limit the requests to an engine. */
  private void update(String engine, long nowMs) {
    if (named.limit(engine).isEmpty()) {
      limited.remove(engine);
      return;
    }
    liftedAtMs.remove(engine);
    long incarnation = named.incarnation(engine);
    Limited state = limited.get(engine);
    if (state == null || state.incarnation != incarnation) {
      limited.put(engine, new Limited(incarnation, random, nowMs));
    }
  }

  private LimitShare share(String engine, Limited state, Urgency urgency, long nowMs) {
    Gate gate = state.gate(urgency);
    double limit = limit(engine);
    long silentMs = Math.max(nowMs - heardAtMs, unconfirmedMs(nowMs));
    if (silentMs <= SILENCE_MS) {
      gate.share = Optional.of(knownShare(limit, state, urgency, nowMs));
    } else if (silentMs > MAX_SILENCE_MS) {
      gate.share = Optional.empty();
    }
    int fleet = instances.contains(instance) ? instances.size() : UNKNOWN_INSTANCES;
    return gate.share.orElseGet(() -> LimitShare.unknown(limit, urgency, fleet));
  }

  /** Takes the demand of all as of the last news, because nothing adds to it in between. */
  private LimitShare knownShare(double limit, Limited state, Urgency urgency, long nowMs) {
    long knownAtMs = Math.min(nowMs, heardAtMs);
    return LimitShare.known(
        limit,
        urgency,
        state.gate(urgency).own.perSecond(nowMs),
        state.gate(Urgency.CALL).all.perSecond(knownAtMs),
        state.gate(Urgency.BACKGROUND).all.perSecond(knownAtMs));
  }

  /** Returns for how long the log has not confirmed a report of this instance. */
  private long unconfirmedMs(long nowMs) {
    return unconfirmed.map(s -> nowMs - s.atMs()).orElse(0L);
  }

  private double limit(String engine) {
    return Math.max(MIN_LIMIT_PER_S, named.limit(engine).orElse(0));
  }

  private List<EngineDemand> takeDemand(long nowMs) {
    List<EngineDemand> demand = new ArrayList<>();
    liftedAtMs.forEach(
        (engine, atMs) ->
            demand.add(
                new EngineDemand(
                    engine,
                    named.incarnation(engine),
                    0,
                    0,
                    OptionalDouble.empty(),
                    nowMs - atMs)));
    liftedAtMs.clear();
    limited.entrySet().stream()
        .filter(e -> e.getValue().hasUnreported())
        .limit(MAX_ENGINES_PER_REPORT)
        .forEach(e -> demand.add(takeDemand(e.getKey(), e.getValue(), nowMs)));
    return demand;
  }

  private EngineDemand takeDemand(String engine, Limited state, long nowMs) {
    state.told = true;
    return new EngineDemand(
        engine,
        state.incarnation,
        state.gate(Urgency.CALL).takeUnreported(),
        state.gate(Urgency.BACKGROUND).takeUnreported(),
        named.limit(engine),
        Math.max(0, nowMs - named.saidAtMs(engine)));
  }
}
