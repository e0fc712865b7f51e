package org.marigoldmill.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class EngineLimitsTest {
  /** Time after which all instances together keep a limit, in seconds ({@code contact_ms}). */
  private static final double SETTLE_S = 3;

  private static final double RUN_S = 20;
  private static final int SEEDS = 3;
  private static final int[] SIZES = {2, 9, 95, 320};
  private static final double[] LIMITS = {0.3, 1.3, 3, 30};

  /** Where the demand for the engine arises, as a multiple of the limit. */
  private enum Load {
    CALLS_EVERYWHERE(3, 0),
    TWO_OWNERS(0, 4),
    OWNERS_AND_CALLS(0.4, 4);

    private final double calls;
    private final double background;

    Load(double calls, double background) {
      this.calls = calls;
      this.background = background;
    }

    private void applyTo(SimulatedFleet fleet, double limit) {
      int size = fleet.instances.size();
      fleet.instances.forEach(i -> i.callsPerSecond = calls * limit / size);
      fleet.instances.subList(0, 2).forEach(i -> i.backgroundPerSecond = background * limit / 2);
    }
  }

  private static int allowed(double limit) {
    return (int) Math.floor(1.5 * limit * 4 + 5);
  }

  /** Runs a fleet under a load, and counts from the time on at which a new limit is kept. */
  private static SimulatedFleet settled(int size, double limit, Load load, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(size, seed);
    load.applyTo(fleet, limit);
    fleet.run(SETTLE_S);
    fleet.name(limit);
    fleet.run(SETTLE_S);
    fleet.startCounting();
    return fleet;
  }

  private static Stream<Arguments> fleets() {
    return Stream.of(Load.values())
        .flatMap(
            load ->
                Arrays.stream(SIZES)
                    .boxed()
                    .flatMap(
                        size ->
                            Arrays.stream(LIMITS)
                                .mapToObj(limit -> Arguments.of(load, size, limit))));
  }

  @Nested
  class Limit {
    @ParameterizedTest
    @MethodSource("org.marigoldmill.core.limit.EngineLimitsTest#fleets")
    void should_be_kept_by_all_instances_together(Load load, int size, double limit) {
      for (int seed = 0; seed < SEEDS; seed++) {
        SimulatedFleet fleet = settled(size, limit, load, seed);
        fleet.run(RUN_S);
        assertThat(fleet.mostInFourSeconds()).isLessThanOrEqualTo(allowed(limit));
      }
    }

    @ParameterizedTest
    @EnumSource
    void should_be_used_wherever_the_load_arises(Load load) {
      for (int size : SIZES) {
        int sent = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
          SimulatedFleet fleet = settled(size, 3, load, seed);
          fleet.run(RUN_S);
          sent += fleet.sent();
        }
        assertThat(sent).isGreaterThan((int) (0.75 * 3 * RUN_S * SEEDS));
      }
    }

    @Test
    void should_be_kept_and_used_by_submissions_that_come_all_at_once() {
      for (int size : SIZES) {
        SimulatedFleet fleet = settled(size, 3, Load.TWO_OWNERS, 15);
        fleet.instances.get(1).backgroundPerSecond = 0;
        fleet.run(SETTLE_S);
        fleet.startCounting();
        for (int step = 0; step < RUN_S / 4; step++) {
          fleet.instances.get(0).backgroundPerSecond = 30;
          fleet.run(1.5);
          fleet.instances.get(0).backgroundPerSecond = 0;
          fleet.run(2.5);
        }
        assertThat(fleet.mostInFourSeconds()).isLessThanOrEqualTo(allowed(3));
        assertThat(fleet.sent()).isGreaterThan((int) (0.75 * 3 * RUN_S));
      }
    }

    @Test
    void should_be_used_by_submissions_just_after_callers_have_fallen_silent() {
      for (int size : SIZES) {
        SimulatedFleet fleet = settled(size, 3, Load.CALLS_EVERYWHERE, 15);
        fleet.instances.forEach(i -> i.callsPerSecond = 0);
        fleet.run(SETTLE_S);
        fleet.startCounting();
        for (int step = 0; step < RUN_S / 4; step++) {
          fleet.instances.get(0).backgroundPerSecond = 30;
          fleet.run(1.5);
          fleet.instances.get(0).backgroundPerSecond = 0;
          fleet.run(2.5);
        }
        assertThat(fleet.mostInFourSeconds()).isLessThanOrEqualTo(allowed(3));
        assertThat(fleet.sent()).isGreaterThan((int) (0.75 * 3 * RUN_S));
      }
    }

    @Test
    void should_be_kept_when_callers_press_three_times_as_hard() {
      for (int size : SIZES) {
        for (double limit : LIMITS) {
          SimulatedFleet fleet = settled(size, limit, Load.OWNERS_AND_CALLS, 11);
          fleet.run(RUN_S / 2);
          fleet.instances.forEach(i -> i.callsPerSecond *= 3);
          fleet.run(RUN_S / 2);
          assertThat(fleet.mostInFourSeconds()).isLessThanOrEqualTo(allowed(limit));
        }
      }
    }

    @Test
    void should_be_kept_when_the_load_moves_to_other_instances() {
      for (int size : SIZES) {
        SimulatedFleet fleet = settled(size, 3, Load.TWO_OWNERS, 12);
        fleet.run(RUN_S / 2);
        fleet.instances.subList(0, 2).forEach(i -> i.backgroundPerSecond = 0);
        fleet.instances.subList(size - 2, size).forEach(i -> i.backgroundPerSecond = 6);
        fleet.run(RUN_S / 2);
        assertThat(fleet.mostInFourSeconds()).isLessThanOrEqualTo(allowed(3));
        assertThat(fleet.sent()).isGreaterThan((int) (0.75 * 3 * RUN_S));
      }
    }

    @Test
    void should_be_kept_when_it_changes_with_every_answer() {
      for (int size : SIZES) {
        SimulatedFleet fleet = settled(size, 3, Load.OWNERS_AND_CALLS, 13);
        Random random = new Random(size);
        for (int i = 0; i < 100; i++) {
          fleet.name(2 + 2 * random.nextDouble());
          fleet.run(RUN_S / 100);
        }
        assertThat(fleet.mostInFourSeconds()).isLessThanOrEqualTo(allowed(4));
      }
    }

    @Test
    void should_be_forgotten_by_all_instances_soon_after_it_has_ended() {
      for (int size : SIZES) {
        SimulatedFleet fleet = settled(size, 3, Load.OWNERS_AND_CALLS, 14);
        fleet.run(RUN_S / 2);
        assertThat(fleet.believers()).isEqualTo(size);
        fleet.name(Double.NaN);
        fleet.run(SETTLE_S);
        assertThat(fleet.believers()).isZero();
      }
    }
  }

  @Nested
  class Calls {
    @Test
    void should_go_before_the_background_of_other_instances() {
      for (int size : SIZES) {
        SimulatedFleet fleet = settled(size, 3, Load.OWNERS_AND_CALLS, 21);
        fleet.run(RUN_S);
        assertThat(fleet.sentCalls()).isGreaterThan(9 * fleet.refusedCalls());
      }
    }

    @Test
    void should_leave_a_part_to_the_background_when_they_alone_exceed_the_limit() {
      for (int size : SIZES) {
        SimulatedFleet fleet = settled(size, 3, Load.CALLS_EVERYWHERE, 22);
        fleet.instances.get(0).backgroundPerSecond = 3;
        fleet.run(RUN_S);
        assertThat(fleet.sent() - fleet.sentCalls()).isPositive();
      }
    }
  }

  @Nested
  class Log {
    @Test
    void should_not_be_needed_to_keep_a_limit_that_is_named_while_it_is_silent() {
      for (int size : SIZES) {
        for (double limit : LIMITS) {
          SimulatedFleet fleet = new SimulatedFleet(size, 31);
          Load.OWNERS_AND_CALLS.applyTo(fleet, limit);
          fleet.run(SETTLE_S);
          fleet.logSilent(true);
          fleet.run(SETTLE_S);
          fleet.name(limit);
          fleet.run(SETTLE_S);
          fleet.startCounting();
          fleet.run(RUN_S);
          assertThat(fleet.mostInFourSeconds()).isLessThanOrEqualTo(allowed(limit));
          assertThat(fleet.sent()).isPositive();
        }
      }
    }

    @Test
    void should_not_be_needed_to_go_on_keeping_a_limit() {
      for (int size : SIZES) {
        SimulatedFleet fleet = settled(size, 3, Load.OWNERS_AND_CALLS, 32);
        fleet.run(RUN_S / 2);
        fleet.logSilent(true);
        fleet.run(RUN_S);
        fleet.logSilent(false);
        fleet.run(RUN_S / 2);
        assertThat(fleet.mostInFourSeconds()).isLessThanOrEqualTo(allowed(3));
      }
    }

    @Test
    void should_not_be_needed_by_a_third_of_the_instances() {
      for (int size : SIZES) {
        SimulatedFleet fleet = settled(size, 3, Load.OWNERS_AND_CALLS, 33);
        fleet.run(RUN_S / 2);
        fleet.instances.subList(0, (size + 2) / 3).forEach(i -> i.cut(true));
        fleet.run(RUN_S);
        fleet.instances.forEach(i -> i.cut(false));
        fleet.run(RUN_S / 2);
        assertThat(fleet.mostInFourSeconds()).isLessThanOrEqualTo(allowed(3));
      }
    }

    @Test
    void should_carry_no_more_records_when_there_are_more_instances() {
      SimulatedFleet fleet = settled(320, 30, Load.CALLS_EVERYWHERE, 34);
      fleet.run(RUN_S);
      fleet.startCounting();
      fleet.run(RUN_S);
      assertThat(fleet.recordsReadByEach() / RUN_S).isLessThan(1.5 * ReportPace.REPORTS_PER_S);
    }
  }

  @Nested
  class Answers {
    private final EngineLimits limits =
        new EngineLimits(
            "a",
            "a#1",
            new WarmupTable(s -> Optional.empty(), new WarmupTolerance(1.5, 5)),
            new Random(1),
            0);

    @Test
    void should_bind_only_the_incarnation_that_gave_them() {
      limits.recordAnswer("e", 5, OptionalDouble.of(1), 1_000);
      assertThat(limits.isLimited("e")).isTrue();
      limits.recordAnswer("e", 6, OptionalDouble.empty(), 2_000);
      limits.recordAnswer("e", 5, OptionalDouble.of(1), 2_100);
      assertThat(limits.isLimited("e")).isFalse();
    }

    @Test
    void should_be_forgotten_when_the_engine_has_gone() {
      limits.recordAnswer("e", 5, OptionalDouble.of(1), 1_000);
      limits.remove("e");
      assertThat(limits.isLimited("e")).isFalse();
      assertThat(limits.reportDue(2_000)).isEmpty();
    }

    @Test
    void should_let_a_request_probe_an_engine_that_accepts_none() {
      limits.recordAnswer("e", 5, OptionalDouble.of(0), 0);
      long sent =
          Stream.iterate(0L, t -> t + 100)
              .limit(36_000)
              .filter(t -> limits.tryAcquire("e", Urgency.CALL, t))
              .count();
      assertThat(sent).isPositive();
    }

    @Test
    void should_be_reported_to_the_others_however_high_the_limit_is() {
      limits.recordAnswer("e", 5, OptionalDouble.of(999_999_999.9), 0);
      assertThat(limits.tryAcquire("e", Urgency.CALL, 100)).isTrue();
      assertThat(limits.reportDue(1_000)).isPresent();
    }

    @Test
    void should_not_be_overruled_by_an_older_report() {
      limits.recordAnswer("e", 5, OptionalDouble.empty(), 2_000);
      EngineDemand older = new EngineDemand("e", 5, 3, 0, OptionalDouble.of(1), 500);
      limits.applyReport("b", new DemandReport("b#1", 1, List.of(older), List.of()), 0, 2_100);
      assertThat(limits.isLimited("e")).isFalse();
    }

    @Test
    void should_be_believed_when_another_instance_reports_them() {
      EngineDemand report = new EngineDemand("e", 5, 3, 0, OptionalDouble.of(1), 0);
      limits.applyReport("b", new DemandReport("b#1", 1, List.of(report), List.of()), 0, 2_100);
      assertThat(limits.isLimited("e")).isTrue();
    }
  }
}
