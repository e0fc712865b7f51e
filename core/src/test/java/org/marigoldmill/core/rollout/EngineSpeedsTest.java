package org.marigoldmill.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineSpeedsTest {
  private final EngineSpeeds speeds = new EngineSpeeds();

  @BeforeEach
  void observe_three_engines_of_which_one_is_slow() {
    speeds.observe("fast-1", 8, 32, 0);
    speeds.observe("fast-2", 8, 40, 0);
    speeds.observe("slow", 8, 320, 0);
  }

  @Nested
  class Slow {
    @Test
    void should_name_the_slow_one_when_it_takes_several_times_the_median() {
      assertThat(speeds.slow("slow", 1)).isTrue();
      assertThat(speeds.slow("fast-1", 1)).isFalse();
      assertThat(speeds.slow("fast-2", 1)).isFalse();
    }

    @Test
    void should_try_an_engine_again_when_it_was_not_used_for_a_while() {
      assertThat(speeds.slow("slow", 15_001)).isFalse();
    }

    @Test
    void should_recover_when_later_tokens_come_at_the_usual_pace() {
      // WHEN
      for (int i = 1; i <= 10; i++) {
        speeds.observe("slow", 8, 32, i);
      }
      // THEN
      assertThat(speeds.slow("slow", 11)).isFalse();
    }

    @Test
    void should_not_judge_when_there_are_too_few_to_compare() {
      // GIVEN
      EngineSpeeds two = new EngineSpeeds();
      two.observe("fast-1", 8, 32, 0);
      two.observe("slow", 8, 320, 0);
      // THEN
      assertThat(two.slow("slow", 1)).isFalse();
    }
  }
}
