package org.marigoldmill.bench.emulator;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marigoldmill.core.weights.WeightPlan;

/** Decides when the engines of a model load its newest weights. */
@FunctionalInterface
interface WeightPolicy {
  /**
   * Time in ms after the publication of a version for which {@code await-step} and {@code
   * await-useful} delay loads that are not urgent.
   */
  long STEP_WAIT_MS = 250;

  /**
   * Inputs of a policy beside the demand.
   *
   * @param msSincePublication time since the newest version was published
   * @param stepSubmitted whether a step was submitted since then
   * @param nextMinVersion oldest weight version that the next step will accept
   */
  record StepTiming(long msSincePublication, boolean stepSubmitted, long nextMinVersion) {}

  /** Returns the loads to request now, most urgent first. */
  List<WeightPlan.Load> loads(
      List<WeightPlan.EngineState> engines, WeightPlan.Demand demand, StepTiming timing);

  /** Returns the policies by name; {@code product} is the one that entry instances use. */
  static Map<String, WeightPolicy> byName() {
    return new TreeMap<>(
        Map.of(
            "product", (engines, demand, timing) -> WeightPlan.requiredLoads(engines, demand),
            "urgent-only",
                (engines, demand, timing) -> urgent(WeightPlan.requiredLoads(engines, demand)),
            "await-step", WeightPolicy::awaitStep,
            "useful-spare", WeightPolicy::usefulSpare,
            "await-useful", WeightPolicy::awaitUseful));
  }

  private static List<WeightPlan.Load> urgent(List<WeightPlan.Load> loads) {
    return loads.stream().filter(WeightPlan.Load::urgent).toList();
  }

  /**
   * Requests only urgent loads right after a publication: the next step is about to be submitted,
   * and engines with the old version can still serve it.
   */
  private static List<WeightPlan.Load> awaitStep(
      List<WeightPlan.EngineState> engines, WeightPlan.Demand demand, StepTiming timing) {
    List<WeightPlan.Load> wanted = WeightPlan.requiredLoads(engines, demand);
    return stepImminent(timing) ? urgent(wanted) : wanted;
  }

  /**
   * Lets all idle engines load unless items are waiting or an engine already has a version that the
   * next step accepts.
   */
  private static List<WeightPlan.Load> usefulSpare(
      List<WeightPlan.EngineState> engines, WeightPlan.Demand demand, StepTiming timing) {
    boolean spare =
        engines.stream().anyMatch(p -> !p.loading() && p.version() >= timing.nextMinVersion());
    if (spare || demand.waiting() > 0) {
      return WeightPlan.requiredLoads(engines, demand);
    }
    return engines.stream()
        .filter(p -> !p.loading() && p.running() == 0)
        .filter(p -> p.version() < demand.newestVersion())
        .map(
            p ->
                new WeightPlan.Load(
                    p.engine(),
                    demand.model(),
                    demand.newestVersion(),
                    false,
                    !demand.singleVersion()))
        .toList();
  }

  private static List<WeightPlan.Load> awaitUseful(
      List<WeightPlan.EngineState> engines, WeightPlan.Demand demand, StepTiming timing) {
    List<WeightPlan.Load> wanted = usefulSpare(engines, demand, timing);
    return stepImminent(timing) ? urgent(wanted) : wanted;
  }

  private static boolean stepImminent(StepTiming timing) {
    return !timing.stepSubmitted() && timing.msSincePublication() < STEP_WAIT_MS;
  }
}
