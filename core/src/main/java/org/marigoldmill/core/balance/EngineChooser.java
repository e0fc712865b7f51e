package org.marigoldmill.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.marigoldmill.core.balance.Decision.Candidate;
import org.marigoldmill.schema.platform.PlatformInstance;

/**
 * Chooses the engine at which a request is expected to be answered first.
 *
 * <p>Answers the load of many instances that choose at the same moment from reports that are a
 * little old. Only a few engines are compared, sampled from the own zone and from all, so that the
 * cost does not grow with the service. The load of each is drawn from its estimate with its
 * uncertainty (Thompson sampling): instances that saw the same report spread over engines that are
 * near equals, the more the older the report is. An engine of another zone costs a little more, so
 * that the own zone is left only when its engines have a queue or are much slower.
 *
 * <p>Not thread-safe.
 */
public final class EngineChooser {
  /** Time that the way to another zone and back takes at most, in milliseconds. */
  private static final double OTHER_ZONE_MS = 3;

  /** Growth of the time of a request from an idle engine to one with all slots taken. */
  private static final double SLOWER_WHEN_TAKEN = 0.1;

  private static final int SAMPLES_IN_ZONE = 4;
  private static final int SAMPLES_IN_ALL = 4;
  private static final int DRAWS_PER_SAMPLE = 4;

  /**
   * The engines of a service.
   *
   * @param zone own zone
   * @param inZone engines in the own zone
   * @param all engines in all zones
   */
  public record Pool(
      String service, String zone, List<PlatformInstance> inZone, List<PlatformInstance> all) {}

  private final LoadEstimates estimates;
  private final RandomGenerator random;

  /** Creates a chooser that draws from the given random source. */
  public EngineChooser(LoadEstimates estimates, RandomGenerator random) {
    this.estimates = estimates;
    this.random = random;
  }

  /**
   * Chooses an engine.
   *
   * @param mayServe whether an engine may be sent the request
   * @param own requests of this instance outstanding at an engine
   */
  public Decision choose(
      Pool pool,
      Predicate<PlatformInstance> mayServe,
      ToIntFunction<PlatformInstance> own,
      long nowMs) {
    List<PlatformInstance> found = new ArrayList<>(SAMPLES_IN_ZONE + SAMPLES_IN_ALL);
    sample(pool.inZone(), SAMPLES_IN_ZONE, mayServe, found);
    final boolean zoneHasEngines = !found.isEmpty();
    sample(pool.all(), found.size() + SAMPLES_IN_ALL, mayServe, found);
    if (found.isEmpty()) {
      scan(pool.all(), SAMPLES_IN_ALL, mayServe, found);
    }
    List<Candidate> considered = new ArrayList<>(found.size());
    Candidate best = null;
    for (PlatformInstance engine : found) {
      Candidate next = candidate(pool, engine, own.applyAsInt(engine), nowMs);
      considered.add(next);
      if (best == null || isBetter(next, best)) {
        best = next;
      }
    }
    boolean left = best != null && zoneHasEngines && !best.engine().getZone().equals(pool.zone());
    return new Decision(Optional.ofNullable(best), left, considered);
  }

  private Candidate candidate(Pool pool, PlatformInstance engine, int own, long nowMs) {
    LoadEstimate estimate = estimates.estimate(pool.service(), engine.getName(), own, nowMs);
    double drawn = estimate.load();
    if (estimate.deviation() > 0) {
      drawn = Math.max(own, drawn + estimate.deviation() * random.nextGaussian());
    }
    double taken = drawn / estimate.slots();
    double costMs =
        estimate.workMs() * (1 + SLOWER_WHEN_TAKEN * taken)
            + estimate.waitMs(drawn)
            + (engine.getZone().equals(pool.zone()) ? 0 : OTHER_ZONE_MS);
    return new Candidate(engine, estimate, costMs, estimate.full());
  }

  private static boolean isBetter(Candidate a, Candidate b) {
    return a.full() == b.full() ? a.costMs() < b.costMs() : b.full();
  }

  private void sample(
      List<PlatformInstance> from,
      int size,
      Predicate<PlatformInstance> mayServe,
      List<PlatformInstance> found) {
    if (from.size() <= size) {
      scan(from, size, mayServe, found);
      return;
    }
    for (int i = 0; i < DRAWS_PER_SAMPLE * size && found.size() < size; i++) {
      add(from.get(random.nextInt(from.size())), mayServe, found);
    }
  }

  /** Adds engines from a random one on, in order. */
  private void scan(
      List<PlatformInstance> from,
      int size,
      Predicate<PlatformInstance> mayServe,
      List<PlatformInstance> found) {
    int start = from.isEmpty() ? 0 : random.nextInt(from.size());
    for (int i = 0; i < from.size() && found.size() < size; i++) {
      add(from.get((start + i) % from.size()), mayServe, found);
    }
  }

  private static void add(
      PlatformInstance engine, Predicate<PlatformInstance> mayServe, List<PlatformInstance> found) {
    if (!isFound(engine, found) && mayServe.test(engine)) {
      found.add(engine);
    }
  }

  /** Compares names, because messages compare all their fields. */
  private static boolean isFound(PlatformInstance engine, List<PlatformInstance> found) {
    for (PlatformInstance other : found) {
      if (other.getName().equals(engine.getName())) {
        return true;
      }
    }
    return false;
  }
}
