package org.marigoldmill.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldmill.core.error.ErrorKind;

/**
 * Requests are sent to upstreams that refuse, break off, answer and run late, against the oracle of
 * what really ran: nothing that may run once runs twice, no more attempts run than are allowed, and
 * nothing is told as not run that has run or runs later.
 */
class AttemptRecordFuzzTest {
  private static final int REQUESTS = 100;
  private static final int MOST_SENDS = 32;

  /** One request and what really became of it. */
  private static final class Request {
    private final Random random;
    private final boolean repeatable;
    private final int maxAttempts;
    private final AttemptTracker record;
    private int sends;
    private int runs;
    private boolean answered;

    private Request(Random random) {
      this.random = random;
      this.repeatable = random.nextBoolean();
      this.maxAttempts = 1 + random.nextInt(4);
      this.record = new AttemptTracker(repeatable, maxAttempts);
    }

    private void run() {
      while (record.maySend() && sends < MOST_SENDS) {
        assertThat(answered).as("sent again after its answer").isFalse();
        sends++;
        record.recordSent();
        attempt(random.nextInt(8));
      }
      if (!answered && random.nextInt(3) == 0) {
        record.recordDeadlineExpired();
      } else if (!answered && random.nextInt(3) == 0) {
        record.recordCancelled();
      }
      check();
    }

    /** The upstream acts; only what can be seen from here is told to the record. */
    private void attempt(int behaviour) {
      switch (behaviour) {
        case 0, 1 -> record.recordNotRun();
        case 2 -> record.recordLost(random.nextBoolean());
        case 3 -> {
          runs++;
          record.recordLost(random.nextBoolean());
        }
        case 4 -> {
          runs++;
          record.recordFailed(random.nextBoolean());
        }
        case 5 -> {
          runs++;
          record.recordStarted();
          record.recordLost(random.nextBoolean());
        }
        default -> {
          runs++;
          answered = true;
          record.recordAnswered();
        }
      }
    }

    private void check() {
      assertThat(sends).isLessThan(MOST_SENDS);
      assertThat(runs).isLessThanOrEqualTo(repeatable ? maxAttempts : 1);
      if (!answered && record.kind().execution() == ErrorKind.Execution.NOT_RUN) {
        assertThat(runs).as("runs of a request told as %s", record.kind()).isZero();
      }
      if (record.hasStarted()) {
        assertThat(runs).isPositive();
      }
    }
  }

  @Property(tries = 150, seed = "21")
  void should_never_run_too_often_or_deny_a_run_when_upstreams_fail(@ForAll long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < REQUESTS; i++) {
      new Request(random).run();
    }
  }
}
