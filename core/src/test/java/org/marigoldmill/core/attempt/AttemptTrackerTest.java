package org.marigoldmill.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marigoldmill.core.error.ErrorKind;

class AttemptTrackerTest {
  @Nested
  class OfRequestsThatOtherInstancesCarry {
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5})
    void should_grant_no_more_attempts_than_the_maximum_when_every_instance_is_lost(int maximum) {
      // GIVEN
      AttemptTracker tracker = new AttemptTracker(true, maximum);
      int granted = 0;
      // WHEN
      while (tracker.maySend()) {
        int next = tracker.grantableAttempts();
        granted += next;
        tracker.recordSent(next);
        tracker.recordLost(false);
      }
      // THEN
      assertThat(granted).isEqualTo(maximum);
    }

    @ParameterizedTest
    @CsvSource({"true,MAYBE_RUN,false", "false,NOT_RUN,true"})
    void should_be_sent_again_when_they_may_run_once_only_if_they_were_refused(
        boolean lost, ErrorKind.Execution execution, boolean again) {
      // GIVEN
      AttemptTracker tracker = new AttemptTracker(false, 1);
      tracker.recordSent(tracker.grantableAttempts());
      // WHEN
      Runnable outcome = lost ? () -> tracker.recordLost(false) : tracker::recordNotRun;
      outcome.run();
      // THEN
      assertThat(tracker.maySend()).isEqualTo(again);
      assertThat(tracker.kind().execution()).isEqualTo(execution);
    }
  }

  @Nested
  class OfAbandonedAttempts {
    @Test
    void should_not_count_them_but_never_say_that_they_have_not_run() {
      // GIVEN
      AttemptTracker tracker = new AttemptTracker(true, 1);
      tracker.recordSent();
      // WHEN
      tracker.recordAbandoned();
      // THEN
      assertThat(tracker.maySend()).isTrue();
      assertThat(tracker.kind().execution()).isEqualTo(ErrorKind.Execution.MAYBE_RUN);
      tracker.recordSent(tracker.grantableAttempts());
      tracker.recordNotRun();
      assertThat(tracker.kind().execution()).isEqualTo(ErrorKind.Execution.MAYBE_RUN);
    }
  }
}
