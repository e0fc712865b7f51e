package org.marigoldmill.server.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.server.store.StoredRecord;

class DeploymentStateTest {
  private final DeploymentState state = new DeploymentState(new TextCodec());
  private final List<Object> changes = new ArrayList<>();

  @BeforeEach
  void listen() {
    state.addEvacuationListener(changes::add);
    state.addConfigListener(c -> changes.add(c.version()));
  }

  private void applyRecord(String key, String value) {
    state.apply(new StoredRecord(0, key, Optional.ofNullable(value).map(v -> v.getBytes(UTF_8))));
  }

  @Nested
  class Apply {
    @Test
    void should_evacuate_a_zone_while_its_record_has_a_value() {
      applyRecord("evacuate/a", "1");
      applyRecord("evacuate/b", "1");
      assertThat(state.evacuatedZones()).containsExactlyInAnyOrder("a", "b");
      applyRecord("evacuate/a", null);
      assertThat(state.evacuatedZones()).containsExactly("b");
    }

    @Test
    void should_tell_listeners_once_when_a_record_is_repeated() {
      applyRecord("evacuate/a", "1");
      applyRecord("evacuate/a", "1");
      applyRecord("evacuate/a", null);
      applyRecord("evacuate/a", null);
      assertThat(changes).containsExactly(Set.of("a"), Set.of());
    }
  }

  @Nested
  class Load {
    @Test
    void should_take_back_evacuations_that_are_missing_and_keep_the_others_without_a_gap() {
      // GIVEN
      applyRecord("evacuate/a", "1");
      applyRecord("evacuate/b", "1");
      changes.clear();
      // WHEN
      state.load(() -> applyRecord("evacuate/b", "1"));
      // THEN
      assertThat(state.evacuatedZones()).containsExactly("b");
      assertThat(changes).containsExactly(Set.of("b"));
    }

    @Test
    void should_evacuate_before_the_configuration_takes_effect() {
      state.load(
          () -> {
            applyRecord("config", "3");
            applyRecord("evacuate/a", "1");
          });
      assertThat(changes).containsExactly(Set.of("a"), 3L);
    }
  }
}
