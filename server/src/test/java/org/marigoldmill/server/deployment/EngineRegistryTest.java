package org.marigoldmill.server.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.server.store.StoredRecord;

class EngineRegistryTest {
  private final UpstreamTable upstreams = UpstreamTable.with(new Random(1));
  private final EngineRegistry registry =
      new EngineRegistry(new TextCodec(), upstreams, new EngineVersions());

  private void applyRecord(String id, String value) {
    Optional<byte[]> bytes = Optional.ofNullable(value).map(v -> v.getBytes(UTF_8));
    registry.apply(new StoredRecord(0, id, bytes));
    registry.advanceTo(0);
  }

  @Nested
  class RecordLeaving {
    @Test
    void should_give_no_new_work_whatever_the_entry_of_that_incarnation_says() {
      // GIVEN
      applyRecord("e", "1 ready");
      // WHEN
      registry.recordLeaving("e", 1);
      // THEN
      assertThat(upstreams.usable("s")).isEmpty();
      applyRecord("e", "1 ready");
      assertThat(upstreams.usable("s")).isEmpty();
      assertThat(registry.availableEnginesOf("s")).isEmpty();
    }

    @Test
    void should_not_bind_an_engine_that_starts_again_under_its_id() {
      applyRecord("e", "1 ready");
      registry.recordLeaving("e", 1);
      applyRecord("e", "2 ready");
      assertThat(upstreams.usable("s")).hasSize(1);
      registry.recordLeaving("e", 1);
      assertThat(upstreams.usable("s")).hasSize(1);
    }

    @Test
    void should_not_bind_an_engine_that_came_back_after_it_was_gone() {
      applyRecord("e", "1 ready");
      registry.recordLeaving("e", 1);
      applyRecord("e", null);
      applyRecord("e", "2 ready");
      assertThat(upstreams.usable("s")).hasSize(1);
    }

    @Test
    void should_be_kept_when_the_registry_is_loaded_anew() {
      applyRecord("e", "1 ready");
      registry.recordLeaving("e", 1);
      registry.load(() -> applyRecord("e", "1 ready"));
      assertThat(upstreams.usable("s")).isEmpty();
    }
  }

  @Nested
  class SetEvacuatedZones {
    @Test
    void should_give_no_new_work_in_an_evacuated_zone_until_it_is_taken_back() {
      // GIVEN
      applyRecord("e", "1 ready");
      // WHEN
      registry.setEvacuatedZones(Set.of("z"));
      // THEN
      assertThat(upstreams.usable("s")).isEmpty();
      assertThat(registry.availableEnginesOf("s")).isEmpty();
      assertThat(registry.isAvailable("e")).isFalse();
      registry.setEvacuatedZones(Set.of());
      assertThat(upstreams.usable("s")).hasSize(1);
      assertThat(registry.isAvailable("e")).isTrue();
    }

    @Test
    void should_bind_engines_that_register_start_again_or_are_loaded_later() {
      registry.setEvacuatedZones(Set.of("z"));
      applyRecord("e", "1 ready");
      assertThat(upstreams.usable("s")).isEmpty();
      applyRecord("e", "2 ready");
      assertThat(upstreams.usable("s")).isEmpty();
      registry.load(() -> applyRecord("e", "2 ready"));
      assertThat(upstreams.usable("s")).isEmpty();
    }

    @Test
    void should_have_no_effect_when_no_zone_has_that_name() {
      applyRecord("e", "1 ready");
      registry.setEvacuatedZones(Set.of("typo"));
      assertThat(upstreams.usable("s")).hasSize(1);
      assertThat(registry.addresses()).containsExactly("a:1");
    }
  }

  @Nested
  class Apply {
    @Test
    void should_give_no_new_work_to_an_engine_when_it_drains() {
      // GIVEN
      applyRecord("e", "1 ready");
      assertThat(upstreams.usable("s")).hasSize(1);
      // WHEN
      applyRecord("e", "1 draining");
      // THEN
      assertThat(upstreams.usable("s")).isEmpty();
      assertThat(registry.availableEnginesOf("s")).isEmpty();
      assertThat(registry.enginesOf("s")).hasSize(1);
    }

    @Test
    void should_give_no_new_work_to_an_engine_when_its_record_is_deleted() {
      applyRecord("e", "1 ready");
      applyRecord("e", null);
      assertThat(upstreams.usable("s")).isEmpty();
      assertThat(registry.engine("e")).isEmpty();
    }

    @Test
    void should_keep_an_engine_when_its_record_cannot_be_decoded() {
      applyRecord("e", "1 ready");
      applyRecord("e", "of another writer");
      assertThat(upstreams.usable("s")).hasSize(1);
    }

    @Test
    void should_ignore_an_engine_when_its_only_record_cannot_be_decoded() {
      applyRecord("e", "of another writer");
      assertThat(registry.engine("e")).isEmpty();
      assertThat(upstreams.usable("s")).isEmpty();
    }
  }
}
