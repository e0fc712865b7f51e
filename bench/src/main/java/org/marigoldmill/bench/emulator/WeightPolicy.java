package org.marigoldmill.bench.emulator;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marigoldmill.core.weights.WeightPlan;

/** When engines of a model load its newest weights. */
@FunctionalInterface
interface WeightPolicy {
  /** Time for which {@code await-step} holds loads back after a version was named. */
  long STEP_SOON_MS = 250;

  /**
   * What a policy may go by beside the demand.
   *
   * @param sinceNamedMs time since the newest version was named
   * @param stepCame whether a step has come since then
   * @param nextMin oldest version that the next step will accept
   */
  record Moment(long sinceNamedMs, boolean stepCame, long nextMin) {}

  /** Returns the loads that are wanted now, most urgent first. */
  List<WeightPlan.Load> wanted(
      List<WeightPlan.EngineState> places, WeightPlan.Demand demand, Moment moment);

  /** Returns the policies by name; {@code product} is the one that instances use. */
  static Map<String, WeightPolicy> byName() {
    return new TreeMap<>(
        Map.of(
            "product", (places, demand, moment) -> WeightPlan.requiredLoads(places, demand),
            "urgent-only",
                (places, demand, moment) -> urgent(WeightPlan.requiredLoads(places, demand)),
            "await-step", WeightPolicy::awaitStep,
            "useful-spare", WeightPolicy::usefulSpare,
            "await-useful", WeightPolicy::awaitUseful));
  }

  private static List<WeightPlan.Load> urgent(List<WeightPlan.Load> loads) {
    return loads.stream().filter(WeightPlan.Load::urgent).toList();
  }

  /** Right after a version was named its step is awaited, which the old version still serves. */
  private static List<WeightPlan.Load> awaitStep(
      List<WeightPlan.EngineState> places, WeightPlan.Demand demand, Moment moment) {
    List<WeightPlan.Load> wanted = WeightPlan.requiredLoads(places, demand);
    return expected(moment) ? urgent(wanted) : wanted;
  }

  /** Only an engine that the next step can use is left out of the loads of idle engines. */
  private static List<WeightPlan.Load> usefulSpare(
      List<WeightPlan.EngineState> places, WeightPlan.Demand demand, Moment moment) {
    boolean spare = places.stream().anyMatch(p -> !p.loading() && p.version() >= moment.nextMin());
    if (spare || demand.waiting() > 0) {
      return WeightPlan.requiredLoads(places, demand);
    }
    return places.stream()
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
      List<WeightPlan.EngineState> places, WeightPlan.Demand demand, Moment moment) {
    List<WeightPlan.Load> wanted = usefulSpare(places, demand, moment);
    return expected(moment) ? urgent(wanted) : wanted;
  }

  private static boolean expected(Moment moment) {
    return !moment.stepCame() && moment.sinceNamedMs() < STEP_SOON_MS;
  }
}
