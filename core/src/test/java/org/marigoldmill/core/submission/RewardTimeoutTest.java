package org.marigoldmill.core.submission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RewardTimeoutTest {
  @Nested
  class AttemptMs {
    private static List<Long> limits(long routeTimeoutMs) {
      return IntStream.range(0, 40)
          .mapToObj(i -> RewardTimeout.attemptMs(routeTimeoutMs, i))
          .toList();
    }

    @Test
    void should_leave_time_for_another_attempt_when_an_upstream_never_answers() {
      assertThat(limits(1_500)).startsWith(750L, 1_500L);
    }

    /** Calls that needed more than half of their time were repeated for ever. */
    @Test
    void should_exceed_whatever_the_operator_allows_when_attempts_have_had_no_answer() {
      assertThat(limits(3_000)).isSorted().anyMatch(ms -> ms > 3_000);
      assertThat(limits(10_000)).isSorted().anyMatch(ms -> ms > 10_000);
    }
  }
}
