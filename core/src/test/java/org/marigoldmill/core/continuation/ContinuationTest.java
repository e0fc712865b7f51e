package org.marigoldmill.core.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.placement.Engine;

class ContinuationTest {
  private static final Optional<String> V1 = Optional.of("v1");

  private static Engine engine(String id, String version) {
    return new Engine(id, 1, "s", version, "a:1", "z", 8, false, false, Map.of(), 0);
  }

  private final Engine old = engine("old", "v1");
  private final Engine newer = engine("new", "v2");

  @Nested
  class Choose {
    @Test
    void should_take_any_engine_when_there_is_no_text() {
      assertThat(
              Continuation.choose(Optional.empty(), List.of(old, newer), List.of(), List.of(), 0))
          .isEqualTo(new Continuation.Choice(List.of(old, newer), false));
    }

    @Test
    void should_take_only_engines_of_the_version_that_began_the_text() {
      assertThat(Continuation.choose(V1, List.of(newer, old), List.of(newer, old), List.of(), 0))
          .isEqualTo(new Continuation.Choice(List.of(old), false));
    }

    @Test
    void should_take_an_engine_of_another_model_before_it_restarts() {
      assertThat(Continuation.choose(V1, List.of(newer), List.of(newer), List.of(old), 0))
          .isEqualTo(new Continuation.Choice(List.of(old), false));
    }

    @Test
    void should_wait_for_an_engine_of_its_version_that_cannot_run_it_yet() {
      assertThat(Continuation.choose(V1, List.of(newer), List.of(newer, old), List.of(), 0))
          .isEqualTo(new Continuation.Choice(List.of(), false));
    }

    @Test
    void should_restart_when_no_engine_of_its_version_is_left() {
      assertThat(Continuation.choose(V1, List.of(newer), List.of(newer), List.of(newer), 0))
          .isEqualTo(new Continuation.Choice(List.of(newer), true));
    }

    @Test
    void should_restart_when_the_engine_that_it_waits_for_does_not_come_back() {
      long waitedMs = Continuation.MAX_WAIT_MS + 1;
      assertThat(Continuation.choose(V1, List.of(newer), List.of(newer, old), List.of(), waitedMs))
          .isEqualTo(new Continuation.Choice(List.of(newer), true));
    }
  }
}
