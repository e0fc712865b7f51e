package org.marigoldmill.cli.deployment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.deployment.DeploymentCluster.ITEMS;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.Optional;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpResponse;

/** What callers are told of requests that engines have run and answered with a failure. */
@Execution(ExecutionMode.SAME_THREAD)
class AnswersAfterRunIT {
  private static DeploymentCluster cluster;

  @BeforeAll
  static void start() {
    cluster = new DeploymentCluster();
    DeploymentCluster.await(() -> cluster.call("/app/x", "key").status() == 200);
  }

  @AfterAll
  static void stop() {
    cluster.close();
  }

  private static int runs(EngineStandin engine, String id) {
    return Collections.frequency(engine.startedRequests(), id);
  }

  private static void assertNoPromise(HttpResponse answer) {
    assertThat(answer.status()).isEqualTo(502);
    assertThat(Header.first(answer.headers(), "X-Server-Seal")).isEmpty();
    assertThat(Header.first(answer.headers(), "Retry-After")).isEmpty();
  }

  @Nested
  class Calls {
    /** Mutating requests were applied twice: a 429 of an engine that had run them was passed on. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void should_not_promise_that_a_mutating_request_has_not_run_when_it_has(int status) {
      String id = "once-" + status;
      assertNoPromise(cluster.sendWith(0, "/once/status/" + status, id));
      assertThat(runs(cluster.plain, id)).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void should_try_again_when_an_idempotent_request_has_run_in_vain(int status) {
      String id = "again-" + status;
      assertNoPromise(cluster.sendWith(0, "/app/status/" + status, id));
      assertThat(runs(cluster.plain, id)).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 404, 409, 422, 500, 504})
    void should_return_the_answer_as_it_is_when_its_status_promises_nothing(int status) {
      String id = "rejected-" + status;
      HttpResponse answer = cluster.sendWith(0, "/once/status/" + status, id);
      assertThat(answer.status()).isEqualTo(status);
      assertThat(answer.text()).isEqualTo("ran");
      assertThat(Header.first(answer.headers(), "X-Server-Seal"))
          .isEqualTo(Optional.of(EngineStandin.score(id)));
    }
  }

  @Nested
  class Streams {
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void should_not_promise_that_a_stream_has_not_run_when_it_has(int status) {
      String id = "stream-" + status;
      assertNoPromise(cluster.sendWith(0, "/gen/once/status/" + status, id));
      assertThat(runs(cluster.engine, id)).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void should_not_promise_that_a_resumed_stream_has_not_run_when_it_has(int status) {
      Header[] resumed = {new Header("Last-Event-Id", "4"), new Header("Resumes", "begun")};
      assertNoPromise(
          cluster.sendWith(1, "/gen/single/status/" + status, "resumed-" + status, resumed));
    }
  }

  @Nested
  class Items {
    @Test
    void should_stay_owed_when_an_engine_runs_them_and_answers_429() {
      // GIVEN
      ObjectNode submission = DeploymentCluster.submission("limited");
      item(submission).put("path", "/gen/status/429");
      // WHEN
      assertThat(cluster.post(0, "/batch/limited", "limited", submission).status()).isEqualTo(202);
      DeploymentCluster.await(
          () -> cluster.results(1, "limited", 0).get("next").asInt() == ITEMS - 1);
      DeploymentCluster.await(() -> runs(cluster.engine, "limited-0") > 3);
      // THEN
      assertThat(cluster.results(1, "limited", 0).get("results").findValuesAsText("id"))
          .doesNotContain("limited-0");
      assertThat(cluster.item(1, "limited", "limited-0").status()).isEqualTo(200);
    }

    @Test
    void should_not_be_given_up_when_their_reward_calls_are_answered_429() {
      // GIVEN
      ObjectNode submission = DeploymentCluster.submission("unscored");
      ((ObjectNode) item(submission).get("scorer")).put("path", "/app/status/429");
      // WHEN
      assertThat(cluster.post(0, "/batch/unscored", "unscored", submission).status())
          .isEqualTo(202);
      DeploymentCluster.await(
          () -> cluster.results(1, "unscored", 0).get("next").asInt() == ITEMS - 1);
      DeploymentCluster.await(() -> runs(cluster.plain, "reward-unscored-0") > 3);
      // THEN
      JsonNode results = cluster.results(1, "unscored", 0).get("results");
      assertThat(results.findValuesAsText("id")).doesNotContain("unscored-0");
    }

    private ObjectNode item(ObjectNode submission) {
      return (ObjectNode) submission.get("items").get(0);
    }
  }
}
