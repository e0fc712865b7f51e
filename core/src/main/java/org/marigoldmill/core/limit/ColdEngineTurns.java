package org.marigoldmill.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The turns of one instance at cold engines, taken through the log that all instances read in the
 * same order.
 *
 * <p>Answers the load of several hundred instances that meet an engine at the moment at which it
 * becomes cold: nobody knows the demand of the others, and any second counts. An instance claims
 * turns in the log. It may use them once it has read its claim there, if the claims read before in
 * the last {@value #CLAIM_COUNTS_MS} ms leave room for them, and only for {@value #TURN_VALID_MS}
 * ms from the claim on. Of all claims used within a second, the last in the log therefore has the
 * others among those that its author has counted, whatever the delays and clocks of the instances.
 *
 * <p>Instances that claim at the same moment do not know of each other. A claim that the ones
 * stored between the author's reading and itself leave no room for is void, which every reader sees
 * from the log alone, so that it does not count.
 *
 * <p>Besides, every instance has an equal part of a small reserve, with turns at a random time that
 * are not saved. It serves the first requests, and instances that do not reach the log.
 */
final class ColdEngineTurns {
  /** Time for which a claim may be used, from before it is stored on. */
  static final long TURN_VALID_MS = 700;

  /** Time for which a claim counts, from its reading on: a second more, and a margin for delays. */
  static final long CLAIM_COUNTS_MS = TURN_VALID_MS + 1_050;

  /** Time for which claims are kept to see which later ones are void; longer than a store takes. */
  private static final long HISTORY_MS = 5_000;

  /** Number of instances to assume before the log has told it. */
  private static final int UNKNOWN_INSTANCES = 400;

  /** Time for which a request without a turn counts as demand, in milliseconds. */
  private static final long DEMAND_LASTS_MS = 500;

  /** Part of a turn's validity that is left once its claim has been read, in milliseconds. */
  private static final long USABLE_MS = 400;

  /** Turns that are not claimed for calls, because a turn that is not used is lost to all. */
  private static final double SPARED_CALLS = 1;

  /** Largest part of the claimed turns that one claim takes, so that others find some. */
  private static final int CLAIM_DIVISOR = 3;

  private static final int MAX_CLAIMS_PER_REPORT = 64;

  private record Counted(long readAtMs, long offset, int turns) {}

  private static final class Held {
    private final long untilMs;
    private int turns;

    private Held(long untilMs, int turns) {
      this.untilMs = untilMs;
      this.turns = turns;
    }
  }

  private record Sent(long number, long atMs) {}

  private static final class State {
    private final long incarnation;
    private final Deque<Counted> counted = new ArrayDeque<>();
    private final Deque<Held> held = new ArrayDeque<>();
    private double nextReservedAtMs = Double.POSITIVE_INFINITY;
    private int denied;
    private long deniedAtMs;
    private final DemandMeter deniedCalls;

    private State(long incarnation, long nowMs) {
      this.incarnation = incarnation;
      this.deniedCalls = new DemandMeter(nowMs);
    }

    private void countDenied(Urgency urgency, long nowMs) {
      if (urgency == Urgency.CALL) {
        deniedCalls.add(1, nowMs);
      } else {
        denied++;
        deniedAtMs = nowMs;
      }
    }

    /** Returns the turns that are likely to be used; calls do not wait until they are there. */
    private int demand(long nowMs) {
      double calls = deniedCalls.perSecond(nowMs) * USABLE_MS / 1e3 - SPARED_CALLS;
      int background = nowMs - deniedAtMs <= DEMAND_LASTS_MS ? denied : 0;
      return background + Math.max(0, (int) calls);
    }

    private boolean countsNothing(long nowMs) {
      counted.removeIf(c -> nowMs - c.readAtMs() >= HISTORY_MS);
      return counted.isEmpty();
    }

    private int countedTurns(long nowMs) {
      counted.removeIf(c -> nowMs - c.readAtMs() >= HISTORY_MS);
      return counted.stream()
          .filter(c -> nowMs - c.readAtMs() < CLAIM_COUNTS_MS)
          .mapToInt(Counted::turns)
          .sum();
    }

    /** Returns the turns of claims that an instance which had read to an offset did not know. */
    private int turnsAfter(long offset) {
      return counted.stream().filter(c -> c.offset() > offset).mapToInt(Counted::turns).sum();
    }

    private int heldTurns(long nowMs) {
      held.removeIf(h -> h.untilMs <= nowMs || h.turns == 0);
      return held.stream().mapToInt(h -> h.turns).sum();
    }
  }

  private final WarmupTable warmups;
  private final RandomGenerator random;
  private final Map<String, State> states = new HashMap<>();
  private final Deque<Sent> sent = new ArrayDeque<>();
  private long readingSinceMs = Long.MAX_VALUE;
  private long readTo = -1;

  ColdEngineTurns(WarmupTable warmups, RandomGenerator random) {
    this.warmups = warmups;
    this.random = random;
  }

  /** Returns whether an engine is cold. */
  boolean isCold(String engine, long nowMs) {
    return warmups.requestsPerSecond(engine, nowMs).isPresent();
  }

  /**
   * Returns whether there is a turn at an engine, and otherwise counts the request as demand.
   *
   * @param instances number of instances, or 0 if unknown
   */
  boolean available(String engine, Urgency urgency, int instances, long nowMs) {
    if (!isCold(engine, nowMs)) {
      return true;
    }
    State state = state(engine, nowMs);
    if (state.heldTurns(nowMs) > 0 || nextReservedAtMs(engine, state, instances, nowMs) <= nowMs) {
      return true;
    }
    state.countDenied(urgency, nowMs);
    return false;
  }

  /** Takes the turn that is {@link #available}. */
  void take(String engine, int instances, long nowMs) {
    if (!isCold(engine, nowMs)) {
      return;
    }
    State state = state(engine, nowMs);
    if (state.heldTurns(nowMs) > 0) {
      state.held.getFirst().turns--;
    } else {
      state.nextReservedAtMs += reservedIntervalMs(engine, instances, nowMs);
    }
  }

  /** Returns whether there are turns that would be claimed now; to be called periodically. */
  boolean wantsTurns(long nowMs) {
    states
        .entrySet()
        .removeIf(e -> !isCold(e.getKey(), nowMs) && e.getValue().countsNothing(nowMs));
    return states.entrySet().stream().anyMatch(e -> wanted(e.getKey(), e.getValue(), nowMs) > 0);
  }

  /** Takes the claims of a report that is about to be published. */
  List<TurnClaim> takeClaims(long number, long nowMs) {
    List<TurnClaim> claims = new ArrayList<>();
    states.forEach(
        (engine, state) -> {
          int turns = claims.size() < MAX_CLAIMS_PER_REPORT ? wanted(engine, state, nowMs) : 0;
          if (turns > 0) {
            claims.add(
                new TurnClaim(
                    engine,
                    state.incarnation,
                    turns,
                    budget(engine, nowMs),
                    readTo,
                    warmups.heardLeftMs(engine, nowMs)));
            state.denied = 0;
          }
        });
    sent.removeIf(s -> nowMs - s.atMs() >= TURN_VALID_MS);
    if (!claims.isEmpty()) {
      sent.add(new Sent(number, nowMs));
    }
    return claims;
  }

  /** Applies the claims that another instance has published. */
  void applyOthers(List<TurnClaim> claims, long offset, long nowMs) {
    readTo = Math.max(readTo, offset);
    for (TurnClaim claim : claims) {
      warmups.recordTold(claim.engine(), claim.incarnation(), claim.warmupLeftMs(), nowMs);
      count(claim, offset, nowMs);
    }
  }

  /** Applies the claims that this process has published in a report. */
  void applyOwn(long number, List<TurnClaim> claims, long offset, long nowMs) {
    readTo = Math.max(readTo, offset);
    long untilMs =
        sent.stream()
            .filter(s -> s.number() == number)
            .mapToLong(s -> s.atMs() + TURN_VALID_MS)
            .findFirst()
            .orElse(nowMs);
    boolean complete = readingSinceMs <= nowMs - CLAIM_COUNTS_MS - HISTORY_MS;
    for (TurnClaim claim : claims) {
      int possible = count(claim, offset, nowMs);
      State state = states.get(claim.engine());
      int granted = Math.min(possible, claim.budget() - state.countedTurns(nowMs) + possible);
      if (granted > 0 && complete && nowMs < untilMs) {
        state.held.add(new Held(untilMs, granted));
      }
    }
  }

  /** Records that all records of the log up to now have been read. */
  void recordLogHeard(long nowMs) {
    readingSinceMs = Math.min(readingSinceMs, nowMs);
  }

  /** Records that the log is read anew, which may leave out records. */
  void recordLogReset() {
    readingSinceMs = Long.MAX_VALUE;
  }

  /** Counts a claim as far as it may be valid, and returns how many of its turns are. */
  private int count(TurnClaim claim, long offset, long nowMs) {
    State state = states.get(claim.engine());
    if (state == null || state.incarnation < claim.incarnation()) {
      state = new State(claim.incarnation(), nowMs);
      states.put(claim.engine(), state);
    }
    int room = claim.budget() - state.turnsAfter(claim.readTo());
    int possible =
        state.incarnation == claim.incarnation() ? Math.max(0, Math.min(claim.turns(), room)) : 0;
    if (possible > 0) {
      state.counted.add(new Counted(nowMs, offset, possible));
    }
    return possible;
  }

  private int budget(String engine, long nowMs) {
    return WarmupBudget.of(
            warmups.requestsPerSecond(engine, nowMs).orElseThrow(), warmups.tolerance())
        .claimed();
  }

  private int wanted(String engine, State state, long nowMs) {
    int demand = state.demand(nowMs);
    if (demand == 0 || !isCold(engine, nowMs)) {
      return 0;
    }
    int claimable = budget(engine, nowMs);
    int room = claimable - state.countedTurns(nowMs);
    int part = Math.max(1, claimable / CLAIM_DIVISOR);
    return Math.max(0, Math.min(Math.min(demand, part) - state.heldTurns(nowMs), room));
  }

  /**
   * Returns when the next turn of the reserve begins. Turns come at equal intervals from a random
   * time on; one that is not used lapses, and a shorter interval starts anew.
   */
  private double nextReservedAtMs(String engine, State state, int instances, long nowMs) {
    double intervalMs = reservedIntervalMs(engine, instances, nowMs);
    if (state.nextReservedAtMs > nowMs + intervalMs) {
      state.nextReservedAtMs = nowMs + random.nextDouble() * intervalMs;
    }
    double lapsedMs = nowMs - state.nextReservedAtMs - WarmupBudget.RESERVED_TURN_MS;
    if (lapsedMs > 0) {
      state.nextReservedAtMs += Math.ceil(lapsedMs / intervalMs) * intervalMs;
    }
    return state.nextReservedAtMs;
  }

  private double reservedIntervalMs(String engine, int instances, long nowMs) {
    double rate = warmups.requestsPerSecond(engine, nowMs).orElseThrow();
    int all = instances == 0 ? UNKNOWN_INSTANCES : instances;
    return 1e3 * all / WarmupBudget.of(rate, warmups.tolerance()).reservedPerSecond();
  }

  private State state(String engine, long nowMs) {
    long incarnation = warmups.incarnation(engine);
    State state = states.get(engine);
    if (state == null || state.incarnation < incarnation) {
      state = new State(incarnation, nowMs);
      states.put(engine, state);
    }
    return state;
  }
}
