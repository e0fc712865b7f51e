package org.marigoldmill.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MovePolicyTest {
  private static final long NOW_MS = 10_000;
  private static final Map<String, Double> MS_PER_EVENT = Map.of("slow", 100.0, "fast", 35.0);

  @Nested
  class ItemsToMove {
    @Test
    void should_move_the_longest_runs_first_when_a_faster_engine_has_few_free_slots() {
      List<MovePolicy.Run> runs = List.of(run("short", "slow", 5), run("long", "slow", 90));
      assertThat(itemsToMove(runs, room("fast", 35, 1))).containsExactly("long");
    }

    @Test
    void should_move_nothing_when_the_other_engine_is_only_slightly_faster() {
      assertThat(itemsToMove(List.of(run("a", "slow", 90)), room("fast", 70, 8))).isEmpty();
    }

    @Test
    void should_move_nothing_when_the_speed_of_the_other_engine_is_unknown() {
      assertThat(itemsToMove(List.of(run("a", "slow", 90)), room("fast", 0, 8))).isEmpty();
    }

    @Test
    void should_move_nothing_when_the_run_is_about_to_end() {
      assertThat(itemsToMove(List.of(run("a", "slow", 8)), room("fast", 35, 8))).isEmpty();
    }

    @Test
    void should_move_nothing_when_the_run_has_just_started() {
      MovePolicy.Run recent = new MovePolicy.Run("a", "slow", NOW_MS - 100, 90);
      assertThat(itemsToMove(List.of(recent), room("fast", 35, 8))).isEmpty();
    }
  }

  private static List<String> itemsToMove(List<MovePolicy.Run> runs, MovePolicy.Room room) {
    return MovePolicy.itemsToMove(runs, MS_PER_EVENT, List.of(room), NOW_MS);
  }

  private static MovePolicy.Run run(String item, String engine, long expected) {
    return new MovePolicy.Run(item, engine, NOW_MS - 2_000, expected);
  }

  private static MovePolicy.Room room(String engine, double msPerEvent, int free) {
    return new MovePolicy.Room(engine, msPerEvent, free);
  }
}
