package org.marigoldmill.declare;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.marigoldmill.declare.Declare.job;
import static org.marigoldmill.declare.Declare.organisation;
import static org.marigoldmill.declare.Declare.pool;
import static org.marigoldmill.declare.Declare.service;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.schema.declaration.Declaration;

class DeclareTest {
  @Nested
  class Build {
    @Test
    void should_contain_only_the_hash_when_a_key_is_given_in_plain_text() {
      // WHEN
      String json =
          Declare.against(0)
              .with(organisation("tuul").keyInClear("inspectors", "secret-key"))
              .toJson();
      // THEN
      assertThat(json).contains("sha256").doesNotContain("secret-key");
    }

    @Test
    void should_fill_in_defaults_when_fields_are_not_set() {
      // WHEN
      Declaration declaration =
          Declare.against(7)
              .with(pool("records").zone("a").size(1, 2))
              .with(service("lookups").in("records"))
              .build();
      // THEN
      assertThat(declaration.getAgainstRevision()).isEqualTo(7);
      assertThat(declaration.getServices(0).getTimeoutMs()).isEqualTo(30_000);
      assertThat(declaration.getPools(0).getMaxInFlight()).isEqualTo(32);
    }

    @Test
    void should_report_every_violation_when_there_are_several() {
      // GIVEN
      Declare declare =
          Declare.against(0)
              .with(organisation("Tuul Trust"))
              .with(pool("records").zone("a").size(3, 2))
              .with(service("lookups").in("recrods").onlyFor("feldplan"))
              .with(job("sheets").organisation("tuul").engines("lm", "sheets").step(0, 5_000));
      // WHEN, THEN
      assertThatThrownBy(declare::build)
          .isInstanceOf(InvalidDeclaration.class)
          .hasMessageContaining("organisations[0].name: expected a name")
          .hasMessageContaining("pools.records.max: expected at least min 3 but found '2'")
          .hasMessageContaining(
              "services.lookups.pool: expected the name of a pool but found 'recrods'")
          .hasMessageContaining(
              "services.lookups.organisations: expected the name of an organisation")
          .hasMessageContaining("jobs.sheets.engines: expected the name of a pool")
          .hasMessageContaining(
              "jobs[0].group_size: expected a whole number from 1 to 1024 but found '5000'");
    }
  }
}
