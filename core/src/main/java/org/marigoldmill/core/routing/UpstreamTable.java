package org.marigoldmill.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.marigoldmill.schema.platform.InstanceState;
import org.marigoldmill.schema.platform.PlatformInstance;

/**
 * Upstreams known to this process, and the choice among them.
 *
 * <p>Two candidates are sampled and the one with less work outstanding from here and reported load
 * is taken. An upstream that has just failed is passed over unless no other is left.
 */
public final class UpstreamTable {
  private static final long FIRST_EJECTION_MS = 500;
  private static final long LONGEST_EJECTION_MS = 10_000;
  private static final long REPORT_HALF_LIFE_MS = 1_000;
  private static final int SAMPLES = 12;
  private static final String ALL_ZONES = "";

  private static final class Load {
    private int outstanding;
    private int failures;
    private long ejectedUntil = Long.MIN_VALUE;
    private int reported;
    private long reportedAt = Long.MIN_VALUE;
    private int outstandingAtReport;
  }

  private final RandomGenerator random;
  private final Map<String, Load> loads = new HashMap<>();
  private List<PlatformInstance> instances = List.of();
  private Map<String, Map<String, List<PlatformInstance>>> live = Map.of();

  private UpstreamTable(RandomGenerator random) {
    this.random = random;
  }

  /** Creates an empty table that samples with a random source. */
  public static UpstreamTable with(RandomGenerator random) {
    return new UpstreamTable(random);
  }

  /** Replaces the list of upstreams; the load of those that remain is kept. */
  public synchronized void replace(List<PlatformInstance> listed) {
    instances = List.copyOf(listed);
    index();
    List<String> names = listed.stream().map(PlatformInstance::getName).toList();
    loads.keySet().removeIf(name -> !names.contains(name) && loads.get(name).outstanding == 0);
  }

  /** Returns the upstreams of a pool that may take new work, in every zone. */
  public synchronized List<PlatformInstance> usable(String pool) {
    return live.getOrDefault(pool, Map.of()).getOrDefault(ALL_ZONES, List.of());
  }

  /**
   * Chooses an upstream and counts one request as outstanding there.
   *
   * @param pool pool that the request is for
   * @param zone zone of this process, preferred
   * @param limit most requests outstanding at one upstream from here
   * @param eligible whether an upstream suits the request
   * @param now present time in milliseconds
   * @return the upstream, or empty when none has room
   */
  public synchronized Optional<PlatformInstance> acquire(
      String pool, String zone, int limit, Predicate<PlatformInstance> eligible, long now) {
    Predicate<PlatformInstance> room = i -> eligible.test(i) && load(i).outstanding < limit;
    Optional<PlatformInstance> chosen =
        sample(near(pool, zone), room, now)
            .or(() -> betterOfTwo(candidates(pool, zone, room, now), now));
    chosen.ifPresent(i -> load(i).outstanding++);
    return chosen;
  }

  /** Counts a request as ended without fault of the upstream. */
  public synchronized void recordSuccess(PlatformInstance upstream) {
    Load load = load(upstream);
    load.outstanding--;
    load.failures = 0;
    load.ejectedUntil = Long.MIN_VALUE;
  }

  /** Counts a request as ended by a fault of the upstream. */
  public synchronized void recordFailure(PlatformInstance upstream, long now) {
    Load load = load(upstream);
    load.outstanding--;
    load.failures++;
    long ejection = FIRST_EJECTION_MS << Math.min(load.failures - 1, 5);
    load.ejectedUntil = now + Math.min(ejection, LONGEST_EJECTION_MS);
  }

  /** Counts a request as ended for a reason that says nothing of the upstream. */
  public synchronized void release(PlatformInstance upstream) {
    load(upstream).outstanding--;
  }

  /** Takes in an upstream's own report of its load. */
  public synchronized void recordReportedLoad(String name, int running, long now) {
    Load load = loads.computeIfAbsent(name, n -> new Load());
    load.reported = running;
    load.reportedAt = now;
    load.outstandingAtReport = load.outstanding;
  }

  /** Returns the requests outstanding from here at an upstream. */
  public synchronized int outstanding(String name) {
    Load load = loads.get(name);
    return load == null ? 0 : load.outstanding;
  }

  /** Looks at a few random upstreams only, so that the cost does not grow with their number. */
  private Optional<PlatformInstance> sample(
      List<PlatformInstance> from, Predicate<PlatformInstance> room, long now) {
    if (from.isEmpty()) {
      return Optional.empty();
    }
    List<PlatformInstance> found =
        random
            .ints(SAMPLES, 0, from.size())
            .mapToObj(from::get)
            .filter(i -> load(i).ejectedUntil <= now)
            .filter(room)
            .limit(2)
            .toList();
    return found.size() < 2
        ? Optional.empty()
        : Optional.of(better(found.get(0), found.get(1), now));
  }

  /** Returns all that have room; those that have just failed only when there are no others. */
  private List<PlatformInstance> candidates(
      String pool, String zone, Predicate<PlatformInstance> room, long now) {
    List<PlatformInstance> withRoom = usable(pool).stream().filter(room).toList();
    List<PlatformInstance> healthy =
        withRoom.stream().filter(i -> load(i).ejectedUntil <= now).toList();
    return preferZone(healthy.isEmpty() ? withRoom : healthy, zone);
  }

  private List<PlatformInstance> near(String pool, String zone) {
    Map<String, List<PlatformInstance>> zones = live.getOrDefault(pool, Map.of());
    return zones.containsKey(zone) ? zones.get(zone) : zones.getOrDefault(ALL_ZONES, List.of());
  }

  private void index() {
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
    live = next;
  }

  private List<PlatformInstance> preferZone(List<PlatformInstance> all, String zone) {
    List<PlatformInstance> near = all.stream().filter(i -> i.getZone().equals(zone)).toList();
    return near.isEmpty() ? all : near;
  }

  private Optional<PlatformInstance> betterOfTwo(List<PlatformInstance> candidates, long now) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    PlatformInstance a = candidates.get(random.nextInt(candidates.size()));
    PlatformInstance b = candidates.get(random.nextInt(candidates.size()));
    return Optional.of(better(a, b, now));
  }

  private PlatformInstance better(PlatformInstance a, PlatformInstance b, long now) {
    return score(a, now) <= score(b, now) ? a : b;
  }

  private double score(PlatformInstance upstream, long now) {
    Load load = load(upstream);
    if (load.reportedAt == Long.MIN_VALUE) {
      return load.outstanding;
    }
    double weight = Math.pow(0.5, (double) (now - load.reportedAt) / REPORT_HALF_LIFE_MS);
    int foreign = Math.max(0, load.reported - load.outstandingAtReport);
    return load.outstanding + weight * foreign;
  }

  private Load load(PlatformInstance upstream) {
    return loads.computeIfAbsent(upstream.getName(), n -> new Load());
  }
}
