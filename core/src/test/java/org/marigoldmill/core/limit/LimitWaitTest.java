package org.marigoldmill.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LimitWaitTest {
  @Nested
  class RetryAfterMs {
    @Test
    void should_spread_callers_that_are_refused_at_once() {
      long different =
          IntStream.range(0, 100)
              .mapToLong(i -> LimitWait.retryAfterMs(OptionalLong.of(1_000), "request-" + i))
              .distinct()
              .count();
      assertThat(different).isGreaterThan(30);
    }

    @Test
    void should_not_be_before_the_next_turn() {
      assertThat(LimitWait.retryAfterMs(OptionalLong.of(700), "r")).isBetween(700L, 1_400L);
    }

    @Test
    void should_be_short_enough_for_callers_to_honour_when_the_turn_is_far_or_unknown() {
      assertThat(LimitWait.retryAfterMs(OptionalLong.of(90_000), "r")).isLessThanOrEqualTo(4_000);
      assertThat(LimitWait.retryAfterMs(OptionalLong.empty(), "r")).isBetween(200L, 400L);
    }
  }
}
