package org.marigoldmill.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MovePolicyTest {
  private static final long NOW = 10_000;
  private static final Map<String, Double> SPEEDS = Map.of("slow", 100.0, "fast", 35.0);

  @Nested
  class Due {
    @Test
    void should_move_the_longest_runs_first_when_a_faster_engine_has_few_places() {
      List<MovePolicy.Run> runs = List.of(run("short", "slow", 5), run("long", "slow", 90));
      assertThat(due(runs, room("fast", 35, 1))).containsExactly("long");
    }

    @Test
    void should_move_nothing_when_the_other_engine_is_hardly_faster() {
      assertThat(due(List.of(run("a", "slow", 90)), room("fast", 70, 8))).isEmpty();
    }

    @Test
    void should_move_nothing_when_the_speed_of_the_other_engine_is_unknown() {
      assertThat(due(List.of(run("a", "slow", 90)), room("fast", 0, 8))).isEmpty();
    }

    @Test
    void should_move_nothing_when_the_run_has_just_begun() {
      MovePolicy.Run fresh = new MovePolicy.Run("a", "slow", NOW - 100, 90);
      assertThat(due(List.of(fresh), room("fast", 35, 8))).isEmpty();
    }
  }

  private static List<String> due(List<MovePolicy.Run> runs, MovePolicy.Room room) {
    return MovePolicy.itemsToMove(runs, SPEEDS, List.of(room), NOW);
  }

  private static MovePolicy.Run run(String item, String engine, long expected) {
    return new MovePolicy.Run(item, engine, NOW - 2_000, expected);
  }

  private static MovePolicy.Room room(String engine, double msPerEvent, int free) {
    return new MovePolicy.Room(engine, msPerEvent, free);
  }
}
