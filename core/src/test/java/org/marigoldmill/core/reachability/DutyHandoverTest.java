package org.marigoldmill.core.reachability;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DutyHandoverTest {
  private static final long STEP_MS = 50;

  private final DutyHandover handover = new DutyHandover(0);

  @Test
  void should_rest_when_the_path_stays_lost() {
    // WHEN
    boolean atOnce = handover.mayHold(true, true, 1_000);
    boolean later = handover.mayHold(true, true, 1_400);
    // THEN
    assertThat(atOnce).isTrue();
    assertThat(later).isFalse();
  }

  @Test
  void should_keep_duties_when_no_other_instance_reaches_upstreams() {
    // WHEN
    handover.mayHold(true, false, 1_000);
    // THEN
    assertThat(handover.mayHold(true, false, 60_000)).isTrue();
  }

  @Test
  void should_take_duties_again_when_the_path_has_stayed_open() {
    // GIVEN
    handover.mayHold(true, true, 1_000);
    handover.mayHold(true, true, 1_400);
    // WHEN
    handover.mayHold(false, true, 10_000);
    // THEN
    assertThat(handover.mayHold(false, true, 10_900)).isFalse();
    assertThat(handover.mayHold(false, true, 11_000)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(longs = {500, 1_000, 2_000, 5_000})
  void should_move_duties_rarely_when_the_path_comes_and_goes(long halfPeriodMs) {
    // GIVEN
    int moves = 0;
    boolean holds = true;
    // WHEN
    for (long nowMs = 0; nowMs < 300_000; nowMs += STEP_MS) {
      boolean lost = nowMs / halfPeriodMs % 2 == 1;
      boolean next = handover.mayHold(lost, true, nowMs);
      moves += next == holds ? 0 : 1;
      holds = next;
    }
    // THEN
    assertThat(moves).isLessThanOrEqualTo(12);
  }
}
