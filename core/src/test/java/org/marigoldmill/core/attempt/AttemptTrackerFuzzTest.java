package org.marigoldmill.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldmill.core.error.ErrorKind;

/**
 * Sends requests to upstreams that refuse, disconnect, time out, fail and answer, and compares with
 * the executions that took place: a non-idempotent request runs at most once, no more attempts run
 * than allowed, and no request that may have run is reported as not run.
 */
class AttemptTrackerFuzzTest {
  private static final int REQUESTS = 100;
  private static final int MAX_SENDS = 32;

  /** A request and the executions that took place. */
  private static final class Request {
    private final Random random;
    private final boolean idempotent;
    private final int maxAttempts;
    private final AttemptTracker tracker;
    private int sends;
    private int executions;
    private boolean answered;

    private Request(Random random) {
      this.random = random;
      this.idempotent = random.nextBoolean();
      this.maxAttempts = 1 + random.nextInt(4);
      this.tracker = new AttemptTracker(idempotent, maxAttempts);
    }

    private void run() {
      while (tracker.maySend() && sends < MAX_SENDS) {
        assertThat(answered).as("sent again after an answer").isFalse();
        sends++;
        tracker.recordSent();
        attempt(random.nextInt(8));
      }
      if (!answered && random.nextInt(3) == 0) {
        tracker.recordDeadlineExpired();
      } else if (!answered && random.nextInt(3) == 0) {
        tracker.recordCancelled();
      }
      check();
    }

    /** Simulates one attempt; the tracker learns only what a client could observe. */
    private void attempt(int behaviour) {
      switch (behaviour) {
        case 0, 1 -> tracker.recordNotRun();
        case 2 -> tracker.recordLost(random.nextBoolean());
        case 3 -> {
          executions++;
          tracker.recordLost(random.nextBoolean());
        }
        case 4 -> {
          executions++;
          tracker.recordFailed(random.nextBoolean());
        }
        case 5 -> {
          executions++;
          tracker.recordStarted();
          tracker.recordLost(random.nextBoolean());
        }
        default -> {
          executions++;
          answered = true;
          tracker.recordAnswered();
        }
      }
    }

    private void check() {
      assertThat(sends).isLessThan(MAX_SENDS);
      assertThat(executions).isLessThanOrEqualTo(idempotent ? maxAttempts : 1);
      if (!answered && tracker.kind().execution() == ErrorKind.Execution.NOT_RUN) {
        assertThat(executions)
            .as("executions of a request reported as %s", tracker.kind())
            .isZero();
      }
      if (tracker.hasStarted()) {
        assertThat(executions).isPositive();
      }
    }
  }

  @Property(tries = 150, seed = "21")
  void should_never_execute_too_often_or_deny_an_execution_when_upstreams_fail(@ForAll long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < REQUESTS; i++) {
      new Request(random).run();
    }
  }
}
