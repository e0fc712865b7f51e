package org.marigoldmill.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineSpeedsTest {
  private final EngineSpeeds speeds = new EngineSpeeds();

  @BeforeEach
  void record_one_slow_and_two_fast_engines() {
    speeds.observe("fast-1", 8, 32, 0);
    speeds.observe("fast-2", 8, 40, 0);
    speeds.observe("slow", 8, 320, 0);
  }

  @Nested
  class Slow {
    @Test
    void should_be_slow_when_an_engine_takes_several_times_the_median() {
      assertThat(speeds.slow("slow", 1)).isTrue();
      assertThat(speeds.slow("fast-1", 1)).isFalse();
      assertThat(speeds.slow("fast-2", 1)).isFalse();
    }

    @Test
    void should_not_be_slow_when_its_measurements_have_expired() {
      assertThat(speeds.slow("slow", 15_001)).isFalse();
    }

    @Test
    void should_not_be_slow_when_later_tokens_arrive_at_the_usual_speed() {
      // WHEN
      for (int i = 1; i <= 10; i++) {
        speeds.observe("slow", 8, 32, i);
      }
      // THEN
      assertThat(speeds.slow("slow", 11)).isFalse();
    }

    @Test
    void should_not_be_slow_when_there_are_too_few_engines_to_compare() {
      // GIVEN
      EngineSpeeds two = new EngineSpeeds();
      two.observe("fast-1", 8, 32, 0);
      two.observe("slow", 8, 320, 0);
      // THEN
      assertThat(two.slow("slow", 1)).isFalse();
    }
  }
}
