package org.marigoldmill.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NamedLimitsTest {
  private static final OptionalDouble NONE = OptionalDouble.empty();
  private final NamedLimits limits = new NamedLimits();

  @Nested
  class RecordAnswer {
    @Test
    void should_tell_the_attempts_before_a_change() {
      // GIVEN
      limits.countAttempt("e", 5, 1_000);
      limits.countAttempt("e", 5, 1_200);
      // WHEN, THEN
      assertThat(limits.recordAnswer("e", 5, OptionalDouble.of(2), 1_400))
          .hasValue(new NamedLimits.Change(NONE, OptionalDouble.of(2), 2, 400));
      assertThat(limits.recordAnswer("e", 5, NONE, 1_500))
          .hasValue(new NamedLimits.Change(OptionalDouble.of(2), NONE, 0, 100));
    }

    @Test
    void should_tell_nothing_when_the_limit_stays_the_same() {
      limits.recordAnswer("e", 5, OptionalDouble.of(2), 1_000);
      assertThat(limits.recordAnswer("e", 5, OptionalDouble.of(2), 1_100)).isEmpty();
    }

    @Test
    void should_ignore_an_answer_of_an_earlier_incarnation() {
      limits.recordAnswer("e", 6, NONE, 1_000);
      assertThat(limits.recordAnswer("e", 5, OptionalDouble.of(2), 1_100)).isEmpty();
    }

    @Test
    void should_start_without_a_limit_when_the_engine_has_started_again() {
      limits.recordAnswer("e", 5, OptionalDouble.of(2), 1_000);
      assertThat(limits.recordAnswer("e", 6, NONE, 1_100)).isEmpty();
    }
  }
}
