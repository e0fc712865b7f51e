package org.marigoldmill.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunLengthsTest {
  private final RunLengths lengths = new RunLengths();

  @Nested
  class RemainingEvents {
    @Test
    void should_count_tokens_when_no_run_has_ended() {
      assertThat(lengths.remainingEvents("model", 90, 10)).isEqualTo(80);
    }

    @Test
    void should_follow_the_tokens_of_an_event_when_runs_have_ended() {
      // GIVEN
      lengths.recordEnded("model", 700, 10);
      lengths.recordEnded("model", 2_100, 30);
      // THEN
      assertThat(lengths.remainingEvents("model", 1_400, 5)).isEqualTo(15);
    }

    @Test
    void should_keep_models_apart_when_their_events_differ() {
      // GIVEN
      lengths.recordEnded("other", 700, 10);
      // THEN
      assertThat(lengths.remainingEvents("model", 700, 0)).isEqualTo(700);
    }

    @Test
    void should_be_one_when_a_run_is_longer_than_expected() {
      // GIVEN
      lengths.recordEnded("model", 700, 10);
      // THEN
      assertThat(lengths.remainingEvents("model", 700, 12)).isEqualTo(1);
    }

    @Test
    void should_be_part_of_its_length_when_a_run_outlasts_its_estimate_as_others_did() {
      // GIVEN
      lengths.recordEnded("model", 700, 10);
      lengths.recordEnded("model", 700, 15);
      // THEN
      assertThat(lengths.remainingEvents("model", 700, 40)).isEqualTo(20);
      assertThat(lengths.remainingEvents("model", 700, 2)).isGreaterThanOrEqualTo(10);
    }

    @Test
    void should_ignore_a_run_when_nothing_was_expected_of_it() {
      // GIVEN
      lengths.recordEnded("model", 0, 10);
      // THEN
      assertThat(lengths.remainingEvents("model", 50, 0)).isEqualTo(50);
    }
  }
}
