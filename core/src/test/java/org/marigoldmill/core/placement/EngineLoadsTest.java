package org.marigoldmill.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineLoadsTest {
  private static final String ZONE = "z-a";
  private static final int SLOTS = 6;
  private static final long NOW_MS = 1_000;

  private final EngineLoads loads = new EngineLoads();

  @Nested
  class Acquire {
    @Test
    void should_choose_a_fast_engine_with_runs_when_the_idle_one_is_much_slower() {
      // GIVEN
      loads.recordProgress("fast", 21);
      loads.recordProgress("slow", 46);
      // WHEN
      List<String> chosen = acquire(SLOTS, "fast", "slow");
      // THEN
      assertThat(chosen).containsOnly("fast");
    }

    @Test
    void should_choose_the_slow_engine_when_the_fast_one_has_no_free_slot() {
      // GIVEN
      loads.recordProgress("fast", 21);
      loads.recordProgress("slow", 46);
      acquire(SLOTS, "fast", "slow");
      // WHEN
      List<String> chosen = acquire(1, "fast", "slow");
      // THEN
      assertThat(chosen).containsExactly("slow");
    }

    @Test
    void should_spread_runs_evenly_when_engines_are_equally_fast() {
      // GIVEN
      loads.recordProgress("a", 30);
      loads.recordProgress("b", 30);
      // WHEN
      acquire(4, "a", "b");
      // THEN
      assertThat(loads.runningRequests("a")).isEqualTo(loads.runningRequests("b"));
    }

    @Test
    void should_count_an_engine_as_average_when_its_speed_is_unknown() {
      // GIVEN
      loads.recordProgress("fast", 20);
      loads.recordProgress("slow", 60);
      // WHEN
      List<String> chosen = acquire(1, "fast", "new", "slow");
      // THEN
      assertThat(chosen).containsExactly("fast");
    }
  }

  private List<String> acquire(int runs, String... engines) {
    List<Engine> candidates = Stream.of(engines).map(EngineLoadsTest::engine).toList();
    return Stream.generate(() -> loads.acquire(candidates, ZONE, NOW_MS))
        .limit(runs)
        .flatMap(Optional::stream)
        .map(Engine::id)
        .toList();
  }

  private static Engine engine(String id) {
    return new Engine(
        id, 1, "service", "v1", "127.0.0.1:1", ZONE, SLOTS, false, false, Map.of(), 0);
  }
}
