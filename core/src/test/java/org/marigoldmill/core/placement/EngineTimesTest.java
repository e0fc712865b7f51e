package org.marigoldmill.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineTimesTest {
  private final EngineTimes times = new EngineTimes();

  private void add(String engine, double... ms) {
    for (double m : ms) {
      times.add(engine, m);
    }
  }

  @Nested
  class Medians {
    @Test
    void should_not_follow_a_slow_spell_or_events_that_were_read_at_once() {
      add("e", 23, 24, 80, 23, 0.1);
      assertThat(times.medians()).containsExactly(Map.entry("e", 23.0));
    }

    @Test
    void should_leave_out_an_engine_when_few_runs_are_known() {
      add("e", 23, 24);
      assertThat(times.medians()).isEmpty();
    }

    @Test
    void should_pass_over_results_that_tell_no_time() {
      add("e", 0, 0, 23, 24);
      add("", 23, 23, 23);
      assertThat(times.medians()).isEmpty();
    }
  }
}
