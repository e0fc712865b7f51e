package org.marigoldmill.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.marigoldmill.core.balance.Decision;
import org.marigoldmill.core.balance.EngineChooser;
import org.marigoldmill.core.balance.LoadEstimates;
import org.marigoldmill.core.balance.LoadReport;
import org.marigoldmill.schema.platform.InstanceState;
import org.marigoldmill.schema.platform.PlatformInstance;

/**
 * Upstreams known to this process, with client-side load balancing.
 *
 * <p>Two candidates are sampled and the one with the lower load is chosen (power of two choices).
 * Load is the number of requests outstanding from this process plus the load that the upstream
 * reported, which loses weight with age. An upstream that has failed is ejected for a time that
 * doubles with each consecutive failure; ejected ones are used only when no other has capacity.
 *
 * <p>A table that estimates leaves the comparison to {@link EngineChooser} instead.
 */
public final class UpstreamTable {
  private static final long INITIAL_EJECTION_MS = 500;
  private static final long MAX_EJECTION_MS = 10_000;
  private static final long REPORT_HALF_LIFE_MS = 1_000;
  private static final int SAMPLE_SIZE = 12;
  private static final String ALL_ZONES = "";

  private static final class Load {
    private int outstanding;
    private int consecutiveFailures;
    private long ejectedUntilMs = Long.MIN_VALUE;
    private int reportedLoad;
    private long reportedAtMs = Long.MIN_VALUE;
    private int outstandingAtReport;
  }

  /** Receives the decisions of a table that estimates. */
  public interface DecisionListener {
    /** Called after each choice, with the table locked. */
    void onDecision(String pool, Decision decision);

    /** Called when an upstream has refused a request because it is full, with the table locked. */
    default void onRefusal(String pool) {}
  }

  private record Estimating(
      LoadEstimates estimates, EngineChooser chooser, DecisionListener listener) {}

  private final RandomGenerator random;
  private final Optional<Estimating> estimating;
  private final Map<String, Load> loads = new HashMap<>();
  private List<PlatformInstance> instances = List.of();
  private Map<String, Map<String, List<PlatformInstance>>> liveByPoolAndZone = Map.of();

  private UpstreamTable(RandomGenerator random, Optional<Estimating> estimating) {
    this.random = random;
    this.estimating = estimating;
  }

  /** Creates an empty table that samples with the given random source. */
  public static UpstreamTable with(RandomGenerator random) {
    return new UpstreamTable(random, Optional.empty());
  }

  /** Creates an empty table that chooses by estimated load. */
  public static UpstreamTable estimating(RandomGenerator random, DecisionListener listener) {
    LoadEstimates estimates = new LoadEstimates();
    EngineChooser chooser = new EngineChooser(estimates, random);
    return new UpstreamTable(random, Optional.of(new Estimating(estimates, chooser, listener)));
  }

  /** Returns whether upstreams are chosen by estimated load. */
  public boolean isEstimating() {
    return estimating.isPresent();
  }

  /** Replaces the list of upstreams; the load of those that remain is kept. */
  public synchronized void replace(List<PlatformInstance> listed) {
    instances = List.copyOf(listed);
    rebuildIndex();
    Set<String> names = new HashSet<>();
    listed.forEach(i -> names.add(i.getName()));
    loads.keySet().removeIf(name -> !names.contains(name) && loads.get(name).outstanding == 0);
    estimating.ifPresent(e -> e.estimates().retain(names));
  }

  /** Returns the live upstreams of a pool in all zones. */
  public synchronized List<PlatformInstance> usable(String pool) {
    return liveByPoolAndZone.getOrDefault(pool, Map.of()).getOrDefault(ALL_ZONES, List.of());
  }

  /**
   * Chooses an upstream and counts one request as outstanding there.
   *
   * @param pool pool of the request
   * @param zone availability zone of this process, preferred
   * @param limit maximum number of requests outstanding from this process at one upstream
   * @param eligible whether an upstream may serve the request
   * @param nowMs present time in milliseconds
   * @return the upstream, or empty when all eligible ones are at their limit
   */
  public synchronized Optional<PlatformInstance> acquire(
      String pool, String zone, int limit, Predicate<PlatformInstance> eligible, long nowMs) {
    Predicate<PlatformInstance> hasRoom = i -> eligible.test(i) && load(i).outstanding < limit;
    Optional<PlatformInstance> chosen =
        estimating.isPresent()
            ? chooseByEstimate(estimating.get(), pool, zone, hasRoom, nowMs)
            : sampleHealthy(inZoneOrAll(pool, zone), hasRoom, nowMs)
                .or(() -> lessLoadedOfTwo(eligibleCandidates(pool, zone, hasRoom, nowMs), nowMs));
    chosen.ifPresent(i -> load(i).outstanding++);
    return chosen;
  }

  private Optional<PlatformInstance> chooseByEstimate(
      Estimating by, String pool, String zone, Predicate<PlatformInstance> hasRoom, long nowMs) {
    Map<String, List<PlatformInstance>> zones = liveByPoolAndZone.getOrDefault(pool, Map.of());
    EngineChooser.Pool engines =
        new EngineChooser.Pool(
            pool,
            zone,
            zones.getOrDefault(zone, List.of()),
            zones.getOrDefault(ALL_ZONES, List.of()));
    Decision healthy =
        by.chooser()
            .choose(
                engines,
                i -> load(i).ejectedUntilMs <= nowMs && hasRoom.test(i),
                i -> load(i).outstanding,
                nowMs);
    Decision decision =
        healthy.chosen().isPresent()
            ? healthy
            : by.chooser().choose(engines, hasRoom, i -> load(i).outstanding, nowMs);
    by.listener().onDecision(pool, decision);
    return decision.chosen().map(Decision.Candidate::engine);
  }

  /** Records the end of a request that succeeded, and ends an ejection of the upstream. */
  public synchronized void recordSuccess(PlatformInstance upstream) {
    Load load = load(upstream);
    load.outstanding--;
    load.consecutiveFailures = 0;
    load.ejectedUntilMs = Long.MIN_VALUE;
  }

  /**
   * Records the end of a request that the upstream failed, and ejects the upstream for a time.
   *
   * @param upstream the upstream
   * @param nowMs present time in milliseconds
   */
  public synchronized void recordFailure(PlatformInstance upstream, long nowMs) {
    Load load = load(upstream);
    load.outstanding--;
    load.consecutiveFailures++;
    long ejectionMs = INITIAL_EJECTION_MS << Math.min(load.consecutiveFailures - 1, 5);
    load.ejectedUntilMs = nowMs + Math.min(ejectionMs, MAX_EJECTION_MS);
  }

  /** Records the end of a request whose outcome says nothing about the health of the upstream. */
  public synchronized void release(PlatformInstance upstream) {
    load(upstream).outstanding--;
  }

  /**
   * Records the load that an upstream reported.
   *
   * @param name name of the upstream
   * @param running number of requests that it reported
   * @param nowMs present time in milliseconds
   */
  public synchronized void recordReportedLoad(String name, int running, long nowMs) {
    Load load = loads.computeIfAbsent(name, n -> new Load());
    load.reportedLoad = running;
    load.reportedAtMs = nowMs;
    load.outstandingAtReport = load.outstanding;
  }

  /**
   * Records the load that an upstream reported with an answer.
   *
   * @param pool pool of the upstream
   * @param name name of the upstream
   * @param incarnation start time of the upstream that reports
   */
  public synchronized void recordReport(
      String pool, String name, long incarnation, LoadReport report, long nowMs) {
    recordReportedLoad(name, report.running() + report.waiting(), nowMs);
    estimating.ifPresent(
        e -> e.estimates().recordReport(pool, name, incarnation, report, outstanding(name), nowMs));
  }

  /** Records the time that an upstream took to answer a request, in milliseconds. */
  public synchronized void recordResponse(String pool, String name, double responseMs) {
    estimating.ifPresent(e -> e.estimates().recordResponse(pool, name, responseMs));
  }

  /** Records the end of a request that the upstream refused without running it. */
  public synchronized void recordRefusal(PlatformInstance upstream, long nowMs) {
    release(upstream);
    int own = outstanding(upstream.getName());
    estimating.ifPresent(
        e -> {
          e.estimates().recordRefusal(upstream.getPool(), upstream.getName(), own, nowMs);
          e.listener().onRefusal(upstream.getPool());
        });
  }

  /** Returns the slots that are usually free in a pool; 0 if upstreams are not estimated. */
  public synchronized double usualFreeSlots(String pool) {
    int upstreamCount = usable(pool).size();
    return estimating.map(e -> e.estimates().usualFreeSlots(pool, upstreamCount)).orElse(0.0);
  }

  /** Returns the time that a request of a pool usually takes, in milliseconds; 0 if unknown. */
  public synchronized double usualWorkMs(String pool) {
    return estimating.map(e -> e.estimates().usualWorkMs(pool)).orElse(0.0);
  }

  /** Returns the number of requests outstanding from this process at an upstream. */
  public synchronized int outstanding(String name) {
    Load load = loads.get(name);
    return load == null ? 0 : load.outstanding;
  }

  /** Samples a fixed number of upstreams, so that the cost does not grow with the pool. */
  private Optional<PlatformInstance> sampleHealthy(
      List<PlatformInstance> from, Predicate<PlatformInstance> hasRoom, long nowMs) {
    if (from.isEmpty()) {
      return Optional.empty();
    }
    List<PlatformInstance> found =
        random
            .ints(SAMPLE_SIZE, 0, from.size())
            .mapToObj(from::get)
            .filter(i -> load(i).ejectedUntilMs <= nowMs)
            .filter(hasRoom)
            .limit(2)
            .toList();
    return found.size() < 2
        ? Optional.empty()
        : Optional.of(lessLoaded(found.get(0), found.get(1), nowMs));
  }

  /** Returns the upstreams that have room; ejected ones only when there are no others. */
  private List<PlatformInstance> eligibleCandidates(
      String pool, String zone, Predicate<PlatformInstance> hasRoom, long nowMs) {
    List<PlatformInstance> withRoom = usable(pool).stream().filter(hasRoom).toList();
    List<PlatformInstance> healthy =
        withRoom.stream().filter(i -> load(i).ejectedUntilMs <= nowMs).toList();
    return preferZone(healthy.isEmpty() ? withRoom : healthy, zone);
  }

  private List<PlatformInstance> inZoneOrAll(String pool, String zone) {
    Map<String, List<PlatformInstance>> zones = liveByPoolAndZone.getOrDefault(pool, Map.of());
    return zones.containsKey(zone) ? zones.get(zone) : zones.getOrDefault(ALL_ZONES, List.of());
  }

  private void rebuildIndex() {
    Map<String, Map<String, List<PlatformInstance>>> next = new HashMap<>();
    for (PlatformInstance instance : instances) {
      if (instance.getState() != InstanceState.LIVE) {
        continue;
      }
      Map<String, List<PlatformInstance>> zones =
          next.computeIfAbsent(instance.getPool(), p -> new HashMap<>());
      zones.computeIfAbsent(instance.getZone(), z -> new ArrayList<>()).add(instance);
      zones.computeIfAbsent(ALL_ZONES, z -> new ArrayList<>()).add(instance);
    }
    next.values().forEach(zones -> zones.replaceAll((zone, list) -> List.copyOf(list)));
    liveByPoolAndZone = next;
  }

  private List<PlatformInstance> preferZone(List<PlatformInstance> all, String zone) {
    List<PlatformInstance> inZone = all.stream().filter(i -> i.getZone().equals(zone)).toList();
    return inZone.isEmpty() ? all : inZone;
  }

  private Optional<PlatformInstance> lessLoadedOfTwo(
      List<PlatformInstance> candidates, long nowMs) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    PlatformInstance a = candidates.get(random.nextInt(candidates.size()));
    PlatformInstance b = candidates.get(random.nextInt(candidates.size()));
    return Optional.of(lessLoaded(a, b, nowMs));
  }

  private PlatformInstance lessLoaded(PlatformInstance a, PlatformInstance b, long nowMs) {
    return estimatedLoad(a, nowMs) <= estimatedLoad(b, nowMs) ? a : b;
  }

  private double estimatedLoad(PlatformInstance upstream, long nowMs) {
    Load load = load(upstream);
    if (load.reportedAtMs == Long.MIN_VALUE) {
      return load.outstanding;
    }
    double weight = Math.pow(0.5, (double) (nowMs - load.reportedAtMs) / REPORT_HALF_LIFE_MS);
    int othersRequests = Math.max(0, load.reportedLoad - load.outstandingAtReport);
    return load.outstanding + weight * othersRequests;
  }

  private Load load(PlatformInstance upstream) {
    return loads.computeIfAbsent(upstream.getName(), n -> new Load());
  }
}
