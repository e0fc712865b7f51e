package org.marigoldmill.cli.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marigoldmill.cli.process.ProcessCluster;

/** Engines that say in their answers that they leave, while the store says nothing. */
class LeavingEngineIT {
  /** Time from an answer that says so until no request may be sent any more ({@code drain_ms}). */
  private static final long DRAIN_MS = 2_000;

  private static final int CALLS = 20;

  private DeploymentCluster cluster;
  private EngineStandin other;

  @BeforeEach
  void start() {
    cluster = new DeploymentCluster();
    other = new EngineStandin("p-2", "", 0, 0);
    cluster.store.put("servers", "p-2", other.entry("app"));
    callUntil(other);
    callUntil(cluster.plain);
    cluster.store.silence();
  }

  @AfterEach
  void stop() {
    other.close();
    cluster.close();
  }

  private void callUntil(EngineStandin engine) {
    for (int i = 0; i < 2; i++) {
      int instance = i;
      int before = engine.startedRequests().size();
      DeploymentCluster.await(
          () ->
              cluster.requestWithKey(instance, "/app/" + engine.address(), "key").status() == 200
                  && engine.startedRequests().size() > before);
    }
  }

  @Test
  void should_get_no_requests_after_an_answer_that_says_that_they_leave() {
    // GIVEN
    cluster.plain.leave();
    callUntil(cluster.plain);
    ProcessCluster.pause(DRAIN_MS);
    final int before = cluster.plain.startedRequests().size();
    // WHEN
    for (int i = 0; i < CALLS; i++) {
      assertThat(cluster.requestWithKey(i % 2, "/app/x" + i, "key").status()).isEqualTo(200);
    }
    // THEN
    assertThat(cluster.plain.startedRequests()).hasSize(before);
  }

  @Test
  void should_be_missed_truthfully_when_all_of_a_service_leave() {
    // GIVEN
    cluster.plain.leave();
    other.leave();
    for (int i = 0; i < CALLS; i++) {
      cluster.requestWithKey(i % 2, "/app/x" + i, "key");
    }
    ProcessCluster.pause(DRAIN_MS);
    int before = cluster.plain.startedRequests().size() + other.startedRequests().size();
    // WHEN
    int status = cluster.requestWithKey(0, "/app/late", "key").status();
    // THEN
    assertThat(status).isEqualTo(503);
    assertThat(cluster.plain.startedRequests().size() + other.startedRequests().size())
        .isEqualTo(before);
  }
}
