package org.marigoldmill.core.supply;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig.Autoscale;

/**
 * Decides how many engines of one service are ordered and given back in each availability zone.
 *
 * <p>Answers the load of engines of a zone that are reclaimed at seconds' notice while trainers
 * wait, and of steps that the present engines cannot finish until they are due. Engines are ordered
 * only for work that would otherwise be late, and given back only if ordered here and not needed
 * for several startup times, so that demand that swings with the steps causes no orders.
 *
 * <p>All times are readings of one monotonic clock in milliseconds. Not thread-safe.
 */
public final class EngineDemandPlanner {
  /** What the platform said to an order. */
  public enum Answer {
    ACCEPTED,
    /** None is available there at the moment. */
    NONE_AVAILABLE,
    /** No answer, or one that says nothing about the order; it may have been carried out. */
    UNKNOWN
  }

  /** Startup times without need after which engines are given back. */
  static final int IDLE_STARTUPS = 5;

  /** Startup times after which an engine that was ordered is no longer expected. */
  private static final int EXPECTED_STARTUPS = 2;

  /** Startup times by which the pause after a refusal grows, at most. */
  private static final int MAX_REFUSAL_STARTUPS = 4;

  /** Time for which a shortage lasts before engines are ordered, if no engine was lost. */
  private static final long MIN_SHORTAGE_MS = 1_000;

  /** Time for which more engines are seen before they count as there from the beginning. */
  private static final long SETTLE_MS = 5_000;

  private static final long RETRY_MS = 1_000;

  private static final class PoolState {
    private Set<String> serving = Set.of();
    private int leaving;
    private final Map<String, Long> missingSinceMs = new HashMap<>();
    private int base;
    private int higher;
    private long higherSinceMs = Long.MAX_VALUE;
    private int desired;
    private int most;
    private int refusedDesired;
    private boolean answered = true;
    private boolean repeated;
    private long orderedAtMs;
    private long notBeforeMs = Long.MIN_VALUE;
    private int refusals;
    private int unanswered;

    private boolean everOrdered() {
      return most > base;
    }

    private int present() {
      return serving.size() + missingSinceMs.size();
    }

    private int wanted() {
      return Math.max(base, desired);
    }

    private EngineOrder order(EnginePool pool) {
      return new EngineOrder(pool, wanted(), base, Math.max(most, wanted()));
    }
  }

  private record Need(double engines, long atMs) {}

  private final Map<EnginePool, PoolState> pools =
      new TreeMap<>(Comparator.comparing(EnginePool::zone).thenComparing(EnginePool::reclaimable));
  private final Deque<Need> needs = new ArrayDeque<>();
  private long observedSinceMs = Long.MAX_VALUE;
  private long shortSinceMs = Long.MAX_VALUE;
  private long lastChangeMs = Long.MIN_VALUE / 2;
  private long lastLossMs = Long.MIN_VALUE / 2;
  private long lastReclaimMs = Long.MIN_VALUE / 2;

  /** Creates a planner that has seen no engines. */
  public EngineDemandPlanner() {}

  /**
   * Updates which engines are there.
   *
   * <p>An engine whose entry is missing without notice counts as present for a startup time: it may
   * be back before one that is ordered serves.
   *
   * @param engines all registered engines of the service
   * @param startupMs startup time of the service, in milliseconds
   */
  public void observe(List<Engine> engines, long startupMs, long nowMs) {
    observedSinceMs = Math.min(observedSinceMs, nowMs);
    Map<EnginePool, List<Engine>> byPool =
        engines.stream()
            .collect(Collectors.groupingBy(e -> new EnginePool(e.zone(), e.reclaimable())));
    byPool.keySet().forEach(p -> pools.computeIfAbsent(p, k -> new PoolState()));
    pools.forEach(
        (pool, state) ->
            observePool(pool, state, byPool.getOrDefault(pool, List.of()), startupMs, nowMs));
  }

  /** Takes over an order of an earlier holder of the duty; it is sent again. */
  public void adopt(EngineOrder order, long nowMs) {
    PoolState state = pools.computeIfAbsent(order.pool(), k -> new PoolState());
    state.base = order.most() > order.base() ? order.base() : Math.max(state.base, order.base());
    state.desired = order.desired();
    state.most = order.most();
    state.answered = !state.everOrdered();
    state.orderedAtMs = nowMs;
    state.refusedDesired = order.base();
    if (state.everOrdered()) {
      lastChangeMs = nowMs;
    }
  }

  /** Returns what a successor must know: the number of engines of each pool, as ordered here. */
  public List<EngineOrder> state() {
    return pools.entrySet().stream()
        .filter(p -> p.getValue().base > 0 || p.getValue().everOrdered())
        .map(p -> p.getValue().order(p.getKey()))
        .toList();
  }

  /** Returns the number of engines that serve, without those about to leave. */
  public int servingEngines() {
    return pools.values().stream().mapToInt(p -> p.serving.size()).sum();
  }

  /** Returns the number of engines that were there before any order. */
  public int baseEngines() {
    return pools.values().stream().mapToInt(p -> p.base).sum();
  }

  /**
   * Changes the wanted numbers by the present need; only to be called with a current view.
   *
   * @param neededEngines engines that the open work needs to be in time; 0 if unknown
   */
  public void plan(Autoscale scale, double neededEngines, long nowMs) {
    plan(scale, neededEngines, Set.of(), nowMs);
  }

  /**
   * Changes the wanted numbers by the present need; only to be called with a current view.
   *
   * @param neededEngines engines that the open work needs to be in time; 0 if unknown
   * @param closedZones zones in which engines would get no work
   */
  public void plan(Autoscale scale, double neededEngines, Set<String> closedZones, long nowMs) {
    long idleMs = IDLE_STARTUPS * scale.startupMs();
    recordNeed(neededEngines, idleMs, nowMs);
    if (nowMs - observedSinceMs < SETTLE_MS) {
      return;
    }
    pools.values().forEach(p -> adoptLateEngines(p, scale.startupMs(), nowMs));
    int missing = missing(neededEngines, scale.startupMs(), nowMs);
    if (missing <= 0) {
      shortSinceMs = Long.MAX_VALUE;
      giveBack(scale, idleMs, nowMs);
      return;
    }
    shortSinceMs = Math.min(shortSinceMs, nowMs);
    boolean enginesLost = servingEngines() < baseEngines();
    if (!enginesLost && nowMs - shortSinceMs < MIN_SHORTAGE_MS) {
      return;
    }
    pools.values().forEach(p -> repeatOrDrop(p, scale.startupMs(), nowMs));
    missing = missing(neededEngines, scale.startupMs(), nowMs);
    for (int i = 0; i < missing; i++) {
      Optional<EnginePool> pool = cheapestWithRoom(scale, closedZones, idleMs, nowMs);
      if (pool.isEmpty()) {
        return;
      }
      order(pools.get(pool.get()), 1, nowMs);
    }
  }

  /** Returns the orders to send now: new ones, and those without an answer. */
  public List<EngineOrder> due(long nowMs) {
    return pools.entrySet().stream()
        .filter(p -> !p.getValue().answered && p.getValue().notBeforeMs <= nowMs)
        .map(p -> p.getValue().order(p.getKey()))
        .toList();
  }

  /** Records what became of an order that was sent. */
  public void recordAnswer(EngineOrder order, Answer answer, long startupMs, long nowMs) {
    PoolState state = pools.get(order.pool());
    if (state == null || state.wanted() != order.desired()) {
      return;
    }
    switch (answer) {
      case ACCEPTED -> {
        state.answered = true;
        state.unanswered = 0;
        state.refusals = 0;
      }
      case NONE_AVAILABLE -> {
        state.answered = true;
        state.unanswered = 0;
        state.desired = state.refusedDesired;
        state.notBeforeMs =
            nowMs + startupMs * Math.min(1L << Math.min(state.refusals, 8), MAX_REFUSAL_STARTUPS);
        state.refusals++;
      }
      default -> {
        state.notBeforeMs =
            nowMs + Math.max(RETRY_MS, Math.min(startupMs, RETRY_MS << state.unanswered));
        state.unanswered = Math.min(state.unanswered + 1, 8);
      }
    }
  }

  private void observePool(
      EnginePool pool, PoolState state, List<Engine> engines, long startupMs, long nowMs) {
    // An engine that started again may be listed twice for a while, at the same address.
    Set<String> serving = addresses(engines.stream().filter(e -> !e.draining()));
    Set<String> leaving = addresses(engines.stream().filter(Engine::draining));
    leaving.removeAll(serving);
    state.serving.stream()
        .filter(a -> !serving.contains(a) && !leaving.contains(a))
        .forEach(a -> state.missingSinceMs.put(a, nowMs));
    state.missingSinceMs.keySet().removeIf(a -> serving.contains(a) || leaving.contains(a));
    state.missingSinceMs.values().removeIf(since -> nowMs - since >= startupMs);
    if (serving.size() < state.serving.size()) {
      lastLossMs = nowMs;
    }
    if (pool.reclaimable() && !leaving.isEmpty()) {
      lastReclaimMs = nowMs;
    }
    state.serving = serving;
    state.leaving = leaving.size();
    if (!state.everOrdered()) {
      raiseBase(state, nowMs);
    }
  }

  private static Set<String> addresses(Stream<Engine> engines) {
    return engines.map(Engine::address).collect(Collectors.toCollection(HashSet::new));
  }

  private static void raiseBase(PoolState state, long nowMs) {
    int count = state.serving.size();
    if (count <= state.base) {
      state.higherSinceMs = Long.MAX_VALUE;
      return;
    }
    state.higher = state.higherSinceMs == Long.MAX_VALUE ? count : Math.min(state.higher, count);
    state.higherSinceMs = Math.min(state.higherSinceMs, nowMs);
    if (nowMs - state.higherSinceMs >= SETTLE_MS) {
      state.base = state.higher;
      state.higherSinceMs = Long.MAX_VALUE;
    }
  }

  /** Keeps the needs of the idle time that no later need exceeds; the first is the largest. */
  private void recordNeed(double engines, long idleMs, long nowMs) {
    while (!needs.isEmpty() && needs.peekLast().engines() <= engines) {
      needs.removeLast();
    }
    needs.addLast(new Need(engines, nowMs));
    while (nowMs - needs.peekFirst().atMs() > idleMs) {
      needs.removeFirst();
    }
  }

  private int missing(double neededEngines, long startupMs, long nowMs) {
    int present = pools.values().stream().mapToInt(PoolState::present).sum();
    int expected = pools.values().stream().mapToInt(p -> expected(p, startupMs, nowMs)).sum();
    return (int) Math.ceil(neededEngines) - present - expected;
  }

  /** Returns how many engines of an order are not there yet, but may still come. */
  private static int expected(PoolState state, long startupMs, long nowMs) {
    boolean mayCome = nowMs - state.orderedAtMs < EXPECTED_STARTUPS * startupMs;
    return state.everOrdered() && mayCome
        ? Math.max(0, state.desired - Math.max(state.present(), state.base))
        : 0;
  }

  /** Counts engines as ordered that an earlier order has brought after it was taken back. */
  private void adoptLateEngines(PoolState state, long startupMs, long nowMs) {
    int count = Math.min(state.serving.size(), state.most);
    if (state.everOrdered()
        && count > state.wanted()
        && nowMs - state.orderedAtMs >= EXPECTED_STARTUPS * startupMs) {
      state.desired = count;
      lastChangeMs = nowMs;
    }
  }

  /** Repeats an order that was accepted but brought no engines; if it was repeated, drops it. */
  private static void repeatOrDrop(PoolState state, long startupMs, long nowMs) {
    boolean expired = nowMs - state.orderedAtMs >= EXPECTED_STARTUPS * startupMs;
    int count = state.present();
    if (state.desired <= state.base || count >= state.desired || count < state.base || !expired) {
      return;
    }
    if (state.repeated) {
      state.desired = count;
      state.answered = true;
      state.notBeforeMs = nowMs + MAX_REFUSAL_STARTUPS * startupMs;
    } else {
      state.repeated = true;
      state.answered = false;
      state.orderedAtMs = nowMs;
    }
  }

  private Optional<EnginePool> cheapestWithRoom(
      Autoscale scale, Set<String> closedZones, long idleMs, long nowMs) {
    boolean reclaimsGoOn = nowMs - lastReclaimMs < idleMs;
    Comparator<EnginePool> intactZonesFirst = Comparator.comparing(p -> hasLostEngines(p.zone()));
    Comparator<EnginePool> safestFirst = Comparator.comparing(p -> p.reclaimable() && reclaimsGoOn);
    Comparator<EnginePool> fewestInZoneFirst = Comparator.comparingInt(p -> wantedIn(p.zone()));
    Comparator<EnginePool> cheapestFirst = Comparator.comparingDouble(p -> price(scale, p));
    return pools.values().stream().anyMatch(p -> p.base > 0)
        ? zones().stream()
            .filter(z -> !closedZones.contains(z))
            .flatMap(z -> Stream.of(new EnginePool(z, false), new EnginePool(z, true)))
            .filter(p -> !p.reclaimable() || scale.offersReclaimable())
            .filter(p -> wantedIn(p.zone()) < scale.max())
            .filter(p -> mayOrder(pools.computeIfAbsent(p, k -> new PoolState()), p, nowMs))
            .min(
                intactZonesFirst
                    .thenComparing(safestFirst)
                    .thenComparing(fewestInZoneFirst)
                    .thenComparing(cheapestFirst)
                    .thenComparing(EnginePool::zone))
        : Optional.empty();
  }

  private static double price(Autoscale scale, EnginePool pool) {
    return scale.price(pool.zone(), pool.reclaimable());
  }

  /** Returns the zones that had engines of the service before any order. */
  public List<String> zones() {
    return pools.entrySet().stream()
        .filter(p -> p.getValue().base > 0)
        .map(p -> p.getKey().zone())
        .distinct()
        .toList();
  }

  /** Orders nothing where engines are being reclaimed, or an order has no answer yet. */
  private static boolean mayOrder(PoolState state, EnginePool pool, long nowMs) {
    boolean reclaimed = pool.reclaimable() && (state.leaving > 0 || state.present() < state.base);
    boolean unanswered = !state.answered && state.orderedAtMs < nowMs;
    return !reclaimed && !unanswered && state.notBeforeMs <= nowMs;
  }

  /** Returns the number of engines wanted in a zone, those that are missing included. */
  public int wantedIn(String zone) {
    return in(zone).mapToInt(PoolState::wanted).sum();
  }

  /** Returns the number of engines that serve in a zone. */
  public int servingIn(String zone) {
    return in(zone).mapToInt(s -> s.serving.size()).sum();
  }

  private Stream<PoolState> in(String zone) {
    return Stream.of(new EnginePool(zone, false), new EnginePool(zone, true))
        .map(pools::get)
        .filter(Objects::nonNull);
  }

  private boolean hasLostEngines(String zone) {
    return in(zone).anyMatch(s -> s.serving.size() < s.base);
  }

  /** Never orders fewer than serve, unless engines are given back. */
  private void order(PoolState state, int change, long nowMs) {
    if (state.answered) {
      state.refusedDesired = state.wanted();
    }
    // A number below what is there would have engines taken away that nobody ordered.
    int before = change > 0 ? Math.max(state.wanted(), state.serving.size()) : state.wanted();
    state.desired = before + change;
    state.most = Math.max(state.most, state.desired);
    state.answered = false;
    state.repeated = false;
    state.orderedAtMs = nowMs;
    lastChangeMs = nowMs;
  }

  /** Gives back the most expensive engines that were not needed for a while. */
  private void giveBack(Autoscale scale, long idleMs, long nowMs) {
    if (nowMs - lastChangeMs < idleMs
        || nowMs - lastLossMs < EXPECTED_STARTUPS * scale.startupMs()) {
      return;
    }
    int spare = servingEngines() - (int) Math.ceil(needs.getFirst().engines());
    List<EnginePool> expensiveFirst =
        pools.keySet().stream()
            .sorted(Comparator.comparingDouble((EnginePool p) -> -price(scale, p)))
            .toList();
    for (EnginePool pool : expensiveFirst) {
      PoolState state = pools.get(pool);
      int aboveMin = wantedIn(pool.zone()) - scale.min();
      int given = Math.min(spare, Math.min(state.desired - state.base, aboveMin));
      boolean othersAdded = state.serving.size() > state.wanted();
      if (given > 0 && !othersAdded) {
        order(state, -given, nowMs);
        spare -= given;
      }
    }
    pools.values().forEach(p -> forgetIfSettled(p, idleMs, nowMs));
  }

  private static void forgetIfSettled(PoolState state, long idleMs, long nowMs) {
    if (state.everOrdered()
        && state.answered
        && state.wanted() == state.base
        && state.serving.size() <= state.base
        && nowMs - state.orderedAtMs >= idleMs) {
      state.most = state.base;
    }
  }
}
