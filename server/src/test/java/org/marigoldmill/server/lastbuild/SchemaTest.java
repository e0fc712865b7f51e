package org.marigoldmill.server.lastbuild;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SchemaTest {
  @Test
  void should_contain_all_that_the_last_landed_build_relies_on() {
    assertThat(Schema.promises(Schema.thisBuild()))
        .as("a field, value, method or reserved number is missing or has changed")
        .containsAll(Schema.promises(Schema.lastBuild()));
  }
}
