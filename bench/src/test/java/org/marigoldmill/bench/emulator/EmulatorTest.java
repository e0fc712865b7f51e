package org.marigoldmill.bench.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.rules.RuleChecker;
import org.marigoldmill.core.weights.LoadQueue;
import org.marigoldmill.schema.settings.EmulatorScenario;

class EmulatorTest {
  private static final int SEEDS = 10;

  private static EmulatorScenario scenario(Consumer<EmulatorScenario.Builder> change) {
    EmulatorScenario.Builder builder = EmulatorScenario.newBuilder();
    change.accept(builder);
    return (EmulatorScenario) RuleChecker.withDefaults(builder.build());
  }

  private static double worth(EmulatorScenario scenario, String policy) {
    return LongStream.range(0, SEEDS)
        .mapToDouble(s -> Emulator.simulate(scenario, s, policy).worth())
        .average()
        .orElseThrow();
  }

  @Nested
  class Simulate {
    @Test
    void should_give_the_same_result_when_the_seed_is_the_same() {
      EmulatorScenario scenario = scenario(s -> s.setSlowEngines(1));
      assertThat(Emulator.simulate(scenario, 7, "product"))
          .isEqualTo(Emulator.simulate(scenario, 7, "product"));
    }

    @Test
    void should_earn_everything_when_engines_have_ample_room() {
      EmulatorScenario ample = scenario(s -> s.setGroups(2).setEngines(12).setEventsMax(40));
      assertThat(worth(ample, "product")).isEqualTo(1);
    }

    @Test
    void should_earn_less_when_engines_turn_slow_or_are_taken_away() {
      double whole = worth(scenario(s -> s.setGroups(9)), "product");
      double slow =
          worth(scenario(s -> s.setGroups(9).setSlowEngines(3).setSlowFactor(6)), "product");
      double fewer = worth(scenario(s -> s.setGroups(9).setGoneEngines(3)), "product");
      assertThat(slow).isLessThan(whole);
      assertThat(fewer).isLessThan(whole);
    }

    @Test
    void should_keep_trainers_busy_when_the_loads_at_a_time_grow_with_the_engines() {
      // GIVEN
      int engines = 25;
      int loads = LoadQueue.shareOfEngines(2).applyAsInt(engines);
      Consumer<EmulatorScenario.Builder> fleet =
          s -> s.setEngines(engines).setSlots(6).setModels(4).setGroups(26);
      // WHEN
      double fixed = worth(scenario(fleet.andThen(s -> s.setParallelLoads(2))), "product");
      double share = worth(scenario(fleet.andThen(s -> s.setParallelLoads(loads))), "product");
      // THEN
      assertThat(share).isGreaterThan(0.95);
      assertThat(fixed).isLessThan(share - 0.1);
    }

    @Test
    void should_refuse_a_policy_when_it_is_unknown() {
      assertThatThrownBy(() -> Emulator.simulate(scenario(s -> {}), 1, "none"))
          .isInstanceOf(IllegalArgumentException.class)
          .hasMessageContaining("product");
    }
  }

  /** A few fast engines among slow ones, items of very different length, and large groups. */
  @Nested
  class UnequalEngines {
    /** Highest share of its worth that the users want each kind of rollout to earn on a day. */
    private static final double CLASS_FLOOR = 0.37;

    private static final int ENGINES = 24;
    private static final int FAST_ENGINES = 4;

    private static EmulatorScenario unequal() {
      return scenario(
          s ->
              s.setEngines(ENGINES)
                  .setSlots(6)
                  .setModels(4)
                  .setGroups(4)
                  .setGroupSize(16)
                  .setEventMs(23)
                  .setEventMsPerRun(0.3)
                  .setEventsMean(22)
                  .setEventsSpread(1.1)
                  .setEventsMax(133)
                  .setTrainMs(1_000)
                  .setParallelLoads(6)
                  .setSlowEngines(ENGINES - FAST_ENGINES)
                  .setSlowFactor(3)
                  .setSlowFromMs(5)
                  .setSlowForMs(100_000));
    }

    /** SHORT: the model whose share of the engines held no fast one earned less than its floor. */
    @Test
    void should_serve_every_trainer_above_its_floor_when_few_engines_are_fast() {
      assertThat(LongStream.range(0, SEEDS))
          .allSatisfy(
              seed ->
                  assertThat(Emulator.simulate(unequal(), seed, "product").lowestWorth())
                      .isGreaterThan(CLASS_FLOOR));
    }
  }

  /** The instance that runs the items is lost more often than the longest texts take. */
  @Nested
  class LostOwners {
    /** Highest share of its worth that the users want each kind of rollout to earn on a day. */
    private static final double CLASS_FLOOR = 0.37;

    private static EmulatorScenario lostOwners() {
      return scenario(
          s ->
              s.setEngines(31)
                  .setSlots(6)
                  .setGroups(13)
                  .setGroupSize(8)
                  .setGroupsReturn(true)
                  .setEventMs(46)
                  .setEventMsPerRun(0.3)
                  .setEventsMean(20)
                  .setEventsSpread(1.2)
                  .setEventsMax(143)
                  .setTrainMs(1_000)
                  .setParallelLoads(9)
                  .setLengthMs(64_000)
                  .setOwnerLostEveryMs(8_000));
    }

    /** SHORT: the longest texts were begun anew each time, so steps ended by their time limit. */
    @Test
    void should_serve_every_trainer_above_its_floor_when_texts_outlast_their_owners() {
      assertThat(LongStream.range(0, SEEDS))
          .allSatisfy(
              seed ->
                  assertThat(Emulator.simulate(lostOwners(), seed, "product").lowestWorth())
                      .isGreaterThan(CLASS_FLOOR));
    }
  }

  @Nested
  class Policies {
    @Test
    void should_serve_trainers_better_when_idle_engines_load_ahead() {
      EmulatorScenario calm = scenario(s -> s.setGroups(5));
      EmulatorScenario heavy = scenario(s -> s.setGroups(9));
      assertThat(worth(calm, "product")).isGreaterThan(worth(calm, "urgent-only"));
      assertThat(worth(heavy, "product")).isGreaterThan(worth(heavy, "urgent-only"));
    }
  }
}
