package org.marigoldmill.core.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marigoldmill.core.balance.LoadSimulation.Done;
import org.marigoldmill.core.balance.LoadSimulation.Scenario;
import org.marigoldmill.core.limit.Urgency;

/** Callers of 30 ms of work wait 150 ms for an answer in time and 800 ms at most. */
class EvenLoadTest {
  private static final double CALL_WORK_MS = 30;
  private static final long AIM_MS = 150;
  private static final long GIVE_UP_MS = 800;
  private static final List<String> THREE_ZONES = List.of("a", "b", "c");
  private static final List<String> FOUR_ZONES =
      IntStream.range(0, 17).mapToObj(i -> List.of("a", "b", "c", "d").get(i % 4)).toList();

  /** Returns callers at 60 % of the room of all engines, without bursts. */
  private static Scenario calls(int instances, List<String> engineZones, List<String> callZones) {
    double perSecond = 0.6 * engineZones.size() * LoadSimulation.SLOTS / CALL_WORK_MS * 1e3;
    return new Scenario(
        instances,
        engineZones,
        Collections.nCopies(engineZones.size(), 1.0),
        0,
        perSecond,
        callZones,
        0,
        0,
        CALL_WORK_MS,
        0,
        0.1,
        0,
        20_000,
        false);
  }

  private static Scenario with(
      Scenario s, List<Double> speeds, double oldShare, double loss, long delayMs, long lengthMs) {
    return new Scenario(
        s.instances(),
        s.engineZones(),
        speeds,
        oldShare,
        s.callsPerSecond(),
        s.callZones(),
        s.burstsPerSecond(),
        s.burstSize(),
        s.callWorkMs(),
        s.rewardWorkMs(),
        loss,
        delayMs,
        lengthMs,
        s.windows());
  }

  private static Scenario chosenByOldRule(Scenario s) {
    return with(s, s.speeds(), 1, s.reportLoss(), s.maxReportDelayMs(), s.lengthMs());
  }

  /** What callers got in a simulation. */
  private record Outcome(
      long p50Ms,
      long p95Ms,
      long p99Ms,
      double waitedBesideFree,
      double unexplained,
      double busiestToMean,
      long rewardP99Ms) {

    private static Outcome of(String name, Scenario scenario) {
      LoadSimulation simulation = new LoadSimulation(scenario, 20261204);
      List<Done> done = simulation.run();
      long[] takenMs = sortedMs(done, Urgency.CALL);
      long[] rewardMs = sortedMs(done, Urgency.BACKGROUND);
      long unexplained = done.stream().filter(d -> d.queuedBesideFree() && !d.explained()).count();
      Outcome outcome =
          new Outcome(
              takenMs[takenMs.length / 2],
              takenMs[takenMs.length * 95 / 100],
              takenMs[takenMs.length * 99 / 100],
              (double) done.stream().filter(Done::queuedBesideFree).count() / done.size(),
              (double) unexplained / done.size(),
              simulation.busiestToMean(),
              rewardMs.length == 0 ? 0 : rewardMs[rewardMs.length * 99 / 100]);
      System.out.println(name + ", " + scenario.instances() + " instances: " + outcome);
      return outcome;
    }

    private static long[] sortedMs(List<Done> done, Urgency urgency) {
      return done.stream()
          .filter(d -> d.urgency() == urgency)
          .mapToLong(d -> d.answered() ? d.takenMs() : Long.MAX_VALUE)
          .sorted()
          .toArray();
    }

    private boolean inTime() {
      return p95Ms <= AIM_MS && p99Ms <= GIVE_UP_MS;
    }
  }

  /**
   * Asserts that callers are answered in time, and that of the requests that waited beside an
   * engine with free slots fewer than the slowest hundredth knew both engines.
   */
  private static Outcome assertInTime(Outcome outcome) {
    assertThat(outcome).matches(Outcome::inTime, "callers are answered in time");
    assertThat(outcome.unexplained()).as("waited though the figures were fresh").isLessThan(0.01);
    return outcome;
  }

  /**
   * Returns whether fewer requests waited beside an engine with free slots than if each engine got
   * the same load from instances without any figures (Erlang's C formula for 60 % load).
   */
  private static boolean isEven(Outcome outcome) {
    double load = 0.6 * LoadSimulation.SLOTS;
    double blocked = 1;
    for (int n = 1; n <= LoadSimulation.SLOTS; n++) {
      blocked = load * blocked / (n + load * blocked);
    }
    return outcome.waitedBesideFree() <= blocked / (1 - 0.6 * (1 - blocked));
  }

  static Stream<Integer> instances() {
    return Stream.of(10, 80, 320);
  }

  @Nested
  class Choose {
    private static Stream<Integer> instances() {
      return EvenLoadTest.instances();
    }

    @ParameterizedTest
    @MethodSource("instances")
    void should_answer_in_time_when_demand_is_even(int instances) {
      Scenario scenario = calls(instances, THREE_ZONES, THREE_ZONES);
      assertThat(assertInTime(Outcome.of("even", scenario))).matches(EvenLoadTest::isEven);
    }

    @ParameterizedTest
    @MethodSource("instances")
    void should_answer_in_time_when_one_zone_has_all_the_demand(int instances) {
      // GIVEN
      Scenario scenario = calls(instances, THREE_ZONES, List.of("a"));
      // WHEN, THEN
      assertThat(assertInTime(Outcome.of("one zone", scenario))).matches(EvenLoadTest::isEven);
      assertThat(Outcome.of("one zone, rule before", chosenByOldRule(scenario)))
          .matches(o -> !isEven(o), "the rule before misses the same bound");
    }

    @ParameterizedTest
    @MethodSource("instances")
    void should_answer_in_time_when_reports_are_late_lost_and_out_of_order(int instances) {
      Scenario scenario = calls(instances, THREE_ZONES, List.of("a"));
      assertInTime(
          Outcome.of("late reports", with(scenario, scenario.speeds(), 0, 0.5, 1_000, 20_000)));
    }

    @ParameterizedTest
    @MethodSource("instances")
    void should_answer_in_time_when_two_engines_are_slow(int instances) {
      // GIVEN
      Scenario scenario = calls(instances, FOUR_ZONES, List.of("a", "b", "c", "d"));
      List<Double> speeds = IntStream.range(0, 17).mapToObj(i -> i < 2 ? 4.0 : 1.0).toList();
      // WHEN, THEN
      assertInTime(Outcome.of("slow engines", with(scenario, speeds, 0, 0.1, 0, 20_000)));
      Outcome.of("slow engines, rule before", with(scenario, speeds, 1, 0.1, 0, 20_000));
    }

    @ParameterizedTest
    @MethodSource("instances")
    void should_answer_in_time_when_all_instances_start_at_once(int instances) {
      Scenario scenario = calls(instances, THREE_ZONES, List.of("a"));
      assertInTime(Outcome.of("start", with(scenario, scenario.speeds(), 0, 0.1, 0, 2_000)));
    }

    @ParameterizedTest
    @MethodSource("instances")
    void should_answer_in_time_when_half_the_instances_choose_by_the_rule_before(int instances) {
      Scenario scenario = calls(instances, THREE_ZONES, List.of("a"));
      assertInTime(Outcome.of("half old", with(scenario, scenario.speeds(), 0.5, 0.1, 0, 20_000)));
    }
  }

  @Nested
  class Window {
    private static Stream<Integer> instances() {
      return EvenLoadTest.instances();
    }

    /** Returns few callers beside bursts of 64 reward calls, which take 60 % of the room. */
    private static Scenario bursts(int instances, double oldShare, boolean windows) {
      return new Scenario(
          instances,
          THREE_ZONES,
          Collections.nCopies(3, 1.0),
          oldShare,
          8.4,
          THREE_ZONES,
          0.6 * 3 * LoadSimulation.SLOTS / 43 * 1e3 / 64,
          64,
          CALL_WORK_MS,
          43,
          0.1,
          0,
          120_000,
          windows);
    }

    @ParameterizedTest
    @MethodSource("instances")
    void should_answer_callers_in_time_when_many_reward_calls_become_due(int instances) {
      assertThat(Outcome.of("bursts", bursts(instances, 0, true)))
          .matches(Outcome::inTime, "callers are answered in time")
          .matches(o -> o.rewardP99Ms() <= 1_500, "reward calls are answered in their time");
      assertThat(Outcome.of("bursts, no window", bursts(instances, 0, false)))
          .matches(o -> !o.inTime(), "without the window the bound is missed");
      assertThat(Outcome.of("bursts, rule before", bursts(instances, 1, false)))
          .matches(o -> !o.inTime(), "the rule before misses the bound");
    }

    @Test
    void should_shrink_once_and_keep_the_floor_when_engines_have_queues() {
      // GIVEN
      BackgroundWindow window = new BackgroundWindow();
      window.tryEnter(24, 0);
      // WHEN
      IntStream.range(0, 5).forEach(i -> window.recordRefusal(50, 10));
      // THEN
      assertThat(window.size()).isEqualTo(6);
      IntStream.range(0, 9).forEach(i -> window.recordRefusal(50, 100 + i * 60L));
      assertThat(window.size()).isEqualTo(2);
    }

    @Test
    void should_take_all_slots_that_nobody_else_takes() {
      // GIVEN
      BackgroundWindow window = new BackgroundWindow();
      int inFlight = 0;
      // WHEN
      for (int i = 0; i < 20; i++) {
        while (window.tryEnter(8, i)) {
          inFlight++;
        }
        window.recordReport(new LoadReport(2, 0, 6, 1), 50, i);
      }
      // THEN
      assertThat(inFlight).isEqualTo(4 + 19);
    }
  }

  @Nested
  class Estimate {
    private static final String SERVICE = "records";
    private final LoadEstimates estimates = new LoadEstimates();

    private void report(String engine, long incarnation, int running, long nowMs) {
      estimates.recordReport(
          SERVICE, engine, incarnation, new LoadReport(running, 0, 6, 1), 0, nowMs);
    }

    private LoadEstimate estimate(String engine, int own, long nowMs) {
      return estimates.estimate(SERVICE, engine, own, nowMs);
    }

    @Test
    void should_count_an_unknown_engine_as_average_not_as_idle() {
      // GIVEN
      report("e1", 1, 4, 0);
      // WHEN, THEN
      assertThat(estimate("e2", 1, 0).load()).isEqualTo(5);
      assertThat(estimate("e2", 1, 0).ageMs()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void should_become_the_average_when_the_report_grows_old() {
      // GIVEN
      report("e1", 1, 6, 0);
      report("e2", 1, 0, 0);
      // WHEN, THEN
      assertThat(estimate("e1", 0, 0).load()).isEqualTo(6);
      assertThat(estimate("e1", 0, 0).deviation()).isZero();
      assertThat(estimate("e1", 0, 60_000).load()).isBetween(2.9, 3.1);
      assertThat(estimate("e1", 0, 60_000).deviation()).isBetween(1.6, 1.8);
    }

    @Test
    void should_ignore_a_report_when_it_is_of_a_former_incarnation() {
      // GIVEN
      report("e1", 2, 1, 0);
      report("e1", 1, 6, 1);
      // WHEN, THEN
      assertThat(estimate("e1", 0, 1).ageMs()).isEqualTo(1);
      assertThat(estimate("e1", 0, 0).load()).isEqualTo(1);
    }

    @Test
    void should_forget_the_figures_when_the_engine_starts_again() {
      // GIVEN
      report("e1", 1, 6, 0);
      report("e1", 2, 0, 1);
      // WHEN, THEN
      assertThat(estimate("e1", 0, 1).load()).isZero();
    }

    @Test
    void should_take_longer_only_for_a_moment_when_the_machine_is_slowed_down() {
      // GIVEN
      estimates.recordReport(SERVICE, "e1", 1, new LoadReport(0, 0, 6, 1), 0, 0);
      estimates.recordResponse(SERVICE, "e1", 40);
      estimates.recordReport(SERVICE, "e1", 1, new LoadReport(0, 0, 6, 3), 0, 10);
      // WHEN, THEN
      assertThat(estimate("e1", 0, 10).workMs()).isGreaterThan(50);
      assertThat(estimate("e1", 0, 2_000).workMs()).isBetween(39.0, 41.0);
    }

    @Test
    void should_be_full_only_for_a_moment_when_a_request_was_refused() {
      // GIVEN
      report("e1", 1, 2, 0);
      estimates.recordResponse(SERVICE, "e1", 40);
      estimates.recordRefusal(SERVICE, "e1", 0, 10);
      // WHEN, THEN
      assertThat(estimate("e1", 0, 20).full()).isTrue();
      assertThat(estimate("e1", 0, 60).full()).isFalse();
    }
  }
}
