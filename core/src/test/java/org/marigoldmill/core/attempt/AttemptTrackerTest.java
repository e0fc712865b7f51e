package org.marigoldmill.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
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

    @Test
    void should_be_sent_once_when_an_instance_that_may_have_run_them_is_lost() {
      // GIVEN
      AttemptTracker tracker = new AttemptTracker(false, 3);
      tracker.recordSent(tracker.grantableAttempts());
      // WHEN
      tracker.recordLost(false);
      // THEN
      assertThat(tracker.maySend()).isFalse();
      assertThat(tracker.kind().execution()).isEqualTo(ErrorKind.Execution.MAYBE_RUN);
    }

    @Test
    void should_be_sent_to_another_instance_when_one_refuses_them() {
      // GIVEN
      AttemptTracker tracker = new AttemptTracker(false, 1);
      tracker.recordSent(tracker.grantableAttempts());
      // WHEN
      tracker.recordNotRun();
      // THEN
      assertThat(tracker.maySend()).isTrue();
      assertThat(tracker.kind().execution()).isEqualTo(ErrorKind.Execution.NOT_RUN);
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
