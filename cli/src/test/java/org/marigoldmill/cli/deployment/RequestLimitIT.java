package org.marigoldmill.cli.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.http.HttpResponse;

/** Engines that name a request limit in their answers, behind two instances. */
class RequestLimitIT {
  private static final double LIMIT_PER_S = 2;
  private static final double TOLERATED_FACTOR = 1.5;
  private static final int TOLERATED_REQUESTS = 5;

  /** Time in which all instances keep a limit that an engine has named ({@code contact_ms}). */
  private static final long SETTLE_MS = 3_000;

  private static final long LOAD_MS = 8_000;
  private static final long CALL_INTERVAL_MS = 25;

  private DeploymentCluster cluster;

  @BeforeEach
  void start() {
    cluster = new DeploymentCluster();
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  /** Calls both instances alternately; returns the number of calls that were answered with 503. */
  private int call(long durationMs) {
    int refused = 0;
    long untilMs = System.nanoTime() / 1_000_000 + durationMs;
    for (int i = 0; System.nanoTime() / 1_000_000 < untilMs; i++) {
      HttpResponse answer = cluster.requestWithKey(i % 2, "/app/x" + i, "key");
      assertThat(answer.status()).isIn(200, 503);
      refused += answer.status() == 503 ? 1 : 0;
      ProcessCluster.pause(CALL_INTERVAL_MS);
    }
    return refused;
  }

  @Nested
  class Calls {
    @Test
    void should_keep_the_limit_of_an_engine_at_all_instances_together() {
      // GIVEN
      cluster.plain.requestLimit(Double.toString(LIMIT_PER_S));
      call(SETTLE_MS);
      final int before = cluster.plain.startedRequests().size();
      final long startNanos = System.nanoTime();
      // WHEN
      call(LOAD_MS);
      // THEN
      double elapsedS = (System.nanoTime() - startNanos) / 1e9;
      int received = cluster.plain.startedRequests().size() - before;
      assertThat(received)
          .isLessThanOrEqualTo(
              (int) (TOLERATED_FACTOR * LIMIT_PER_S * elapsedS + TOLERATED_REQUESTS));
      assertThat(received).isPositive();
    }

    @Test
    void should_send_every_request_again_once_no_limit_is_named() {
      // GIVEN
      cluster.plain.requestLimit(Double.toString(LIMIT_PER_S));
      assertThat(call(SETTLE_MS)).isPositive();
      // WHEN
      cluster.plain.requestLimit("");
      // THEN
      DeploymentCluster.await(() -> call(10 * CALL_INTERVAL_MS) == 0);
    }
  }

  @Nested
  class Submissions {
    @Test
    void should_complete_a_submission_when_the_engine_that_scores_it_names_a_limit() {
      // GIVEN
      cluster.plain.requestLimit("6");
      call(SETTLE_MS);
      // WHEN
      assertThat(cluster.post(0, "/batch/l1", "l1", DeploymentCluster.submission()).status())
          .isEqualTo(202);
      // THEN
      DeploymentCluster.await(
          () -> cluster.results(0, "l1", 0).get("next").asInt() == DeploymentCluster.ITEMS);
      cluster
          .results(0, "l1", 0)
          .get("results")
          .forEach(r -> assertThat(r.get("state").asText()).isEqualTo("completed"));
    }
  }
}
