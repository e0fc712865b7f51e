package org.marigoldmill.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineLoadsTest {
  private static final String ZONE = "z";
  private static final int SLOTS = 6;
  private static final long NOW_MS = 10_000;
  private static final double FAST_MS = 23;
  private static final double SLOW_MS = 50;

  private final EngineLoads loads = new EngineLoads();

  private static Engine engine(String id) {
    return new Engine(id, 1, "s", "v", "127.0.0.1:1", ZONE, SLOTS, false, false, Map.of(), 0);
  }

  private Optional<String> acquire(String... engines) {
    List<Engine> candidates = List.of(engines).stream().map(EngineLoadsTest::engine).toList();
    return loads.acquire(candidates, ZONE, NOW_MS).map(Engine::id);
  }

  private Map<String, Long> acquired(int items, String... engines) {
    return IntStream.range(0, items)
        .mapToObj(i -> acquire(engines).orElseThrow())
        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
  }

  @Nested
  class Acquire {
    @BeforeEach
    void learnSpeeds() {
      loads.recordProgress("fast", FAST_MS);
      loads.recordProgress("slow", SLOW_MS);
      loads.recordProgress("equal", FAST_MS);
    }

    @Test
    void should_fill_a_fast_engine_before_an_idle_slow_one() {
      assertThat(acquired(SLOTS, "fast", "slow")).containsExactly(Map.entry("fast", (long) SLOTS));
      assertThat(acquire("fast", "slow")).contains("slow");
    }

    @Test
    void should_spread_items_when_engines_are_equally_fast() {
      assertThat(acquired(SLOTS, "fast", "equal")).containsValues(3L, 3L);
    }

    @Test
    void should_prefer_a_slow_engine_when_the_fast_one_did_not_answer_last() {
      // GIVEN
      loads.recordUnanswered("fast", NOW_MS - 1_000);
      // WHEN, THEN
      assertThat(acquire("fast", "slow")).contains("slow");
    }

    @Test
    void should_try_an_engine_that_did_not_answer_with_few_items_when_no_other_has_room() {
      // GIVEN
      loads.recordUnanswered("fast", NOW_MS - 1_000);
      // WHEN, THEN
      assertThat(acquire("fast")).contains("fast");
      assertThat(acquire("fast")).contains("fast");
      assertThat(acquire("fast")).isEmpty();
    }

    /** An item that fails at each run kept all others from the only engine. */
    @Test
    void should_use_all_slots_when_the_engine_answered_the_item_that_failed() {
      // GIVEN
      loads.recordFailure("fast", NOW_MS - 1_000);
      // WHEN, THEN
      assertThat(acquired(SLOTS, "fast", "slow")).containsExactly(Map.entry("fast", (long) SLOTS));
    }

    @Test
    void should_use_all_slots_again_when_the_engine_has_completed_an_item() {
      // GIVEN
      loads.recordUnanswered("fast", NOW_MS - 1_000);
      assertThat(acquire("fast")).contains("fast");
      // WHEN
      loads.recordCompleted("fast");
      // THEN
      assertThat(acquired(SLOTS - 1, "fast")).containsEntry("fast", SLOTS - 1L);
    }
  }

  @Nested
  class FreeSlots {
    @Test
    void should_be_none_when_the_engine_is_in_back_off() {
      loads.recordFailure("e", NOW_MS);
      assertThat(loads.freeSlots(engine("e"), NOW_MS + 1)).isZero();
    }

    @Test
    void should_be_what_is_not_in_use() {
      assertThat(acquire("e")).isPresent();
      assertThat(loads.freeSlots(engine("e"), NOW_MS)).isEqualTo(SLOTS - 1);
    }
  }

  @Nested
  class AssumeSpeed {
    @Test
    void should_count_when_the_speed_is_unknown_here() {
      loads.assumeSpeed("fast", FAST_MS);
      loads.assumeSpeed("slow", SLOW_MS);
      assertThat(acquire("slow", "fast")).contains("fast");
    }

    @Test
    void should_not_replace_what_was_measured_here() {
      // GIVEN
      loads.recordProgress("e", SLOW_MS);
      // WHEN
      loads.assumeSpeed("e", FAST_MS);
      // THEN
      assertThat(loads.msPerEvent("e")).isEqualTo(SLOW_MS);
    }
  }
}
