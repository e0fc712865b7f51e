package org.marigoldmill.core.reachability;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class DutyHandoverTest {
  private static final long STEP_MS = 50;

  private final DutyHandover handover = new DutyHandover(0);

  @ParameterizedTest
  @CsvSource({"1399,true,true", "1400,true,false", "60000,false,true"})
  void should_rest_when_the_path_stays_lost_and_another_instance_reaches_upstreams(
      long nowMs, boolean othersReach, boolean holds) {
    // GIVEN
    handover.mayHold(true, othersReach, 1_000);
    // THEN
    assertThat(handover.mayHold(true, othersReach, nowMs)).isEqualTo(holds);
  }

  @ParameterizedTest
  @CsvSource({"10999,false", "11000,true"})
  void should_take_duties_again_when_the_path_has_stayed_open(long nowMs, boolean holds) {
    // GIVEN
    handover.mayHold(true, true, 1_000);
    handover.mayHold(true, true, 1_400);
    handover.mayHold(false, true, 10_000);
    // THEN
    assertThat(handover.mayHold(false, true, nowMs)).isEqualTo(holds);
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
