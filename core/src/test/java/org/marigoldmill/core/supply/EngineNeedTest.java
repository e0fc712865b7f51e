package org.marigoldmill.core.supply;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The engines needed follow from the work, its due times and the speed of an engine. */
class EngineNeedTest {
  private static final long STARTUP_MS = 4_000;

  @Test
  void should_need_most_engines_of_any_due_time_when_steps_overlap() {
    // GIVEN
    List<EngineNeed.Work> works =
        List.of(new EngineNeed.Work(8_000, 1_600), new EngineNeed.Work(5_000, 500));
    // WHEN
    double engines = EngineNeed.engines(works, 4, STARTUP_MS);
    // THEN
    assertThat(engines).isEqualTo(2_100 / (4.0 * 8_000));
  }

  @Test
  void should_need_no_more_than_what_helps_after_startup_when_work_is_late() {
    // WHEN
    double engines = EngineNeed.engines(List.of(new EngineNeed.Work(-2_000, 800)), 4, STARTUP_MS);
    // THEN
    assertThat(engines).isEqualTo(800 / (4.0 * STARTUP_MS));
  }

  @Test
  void should_need_none_when_no_work_is_open() {
    assertThat(EngineNeed.engines(List.of(), 4, STARTUP_MS)).isZero();
  }

  @Test
  void should_know_the_slot_time_of_an_expected_token_once_enough_items_are_complete() {
    // GIVEN
    SlotTimes times = new SlotTimes();
    for (int i = 1; i < SlotTimes.MIN_ITEMS; i++) {
      times.recordAttempt("m", 600);
      times.recordCompleted("m", 100);
    }
    assertThat(times.msPerToken("m")).isEmpty();
    // WHEN
    times.recordAttempt("m", 200);
    times.recordAttempt("m", 400);
    times.recordCompleted("m", 100);
    // THEN
    assertThat(times.msPerToken("m")).hasValue(6);
    assertThat(times.msPerToken("other")).isEmpty();
  }

  @Test
  void should_refuse_engines_without_slots() {
    assertThatThrownBy(() -> EngineNeed.engines(List.of(), 0, STARTUP_MS))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
