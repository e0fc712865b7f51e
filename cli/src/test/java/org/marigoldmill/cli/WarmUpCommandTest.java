package org.marigoldmill.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WarmUpCommandTest {
  @Test
  void should_find_every_listed_class_when_the_list_is_loaded() {
    assertThat(WarmUpCommand.loadListedClasses()).isEmpty();
  }
}
