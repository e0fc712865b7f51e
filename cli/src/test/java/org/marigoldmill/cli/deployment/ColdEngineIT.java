package org.marigoldmill.cli.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.http.HttpResponse;

/** An engine that is cold, behind two instances. */
class ColdEngineIT {
  private static final double COLD_PER_S = 6;
  private static final int TOLERATED_IN_A_SECOND = (int) (1.5 * COLD_PER_S + 5);

  /** Time in which the instances read the configuration and enough of the log to claim turns. */
  private static final long SETTLE_MS = 9_000;

  private static final long COLD_MS = 6_000;
  private static final long LOAD_MS = 5_000;
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

  /** Calls both instances alternately; returns when the calls that the engine ran were answered. */
  private List<Long> call(String prefix, long durationMs) {
    List<Long> answeredAtMs = new ArrayList<>();
    long untilMs = nowMs() + durationMs;
    for (int i = 0; nowMs() < untilMs; i++) {
      HttpResponse answer = cluster.requestWithKey(i % 2, "/app/" + prefix + i, "key");
      assertThat(answer.status()).isIn(200, 503);
      if (answer.status() == 200) {
        answeredAtMs.add(nowMs());
      }
      ProcessCluster.pause(CALL_INTERVAL_MS);
    }
    return answeredAtMs;
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private static long mostInASecond(List<Long> timesMs) {
    return timesMs.stream()
        .mapToLong(t -> timesMs.stream().filter(u -> u >= t && u < t + 1_000).count())
        .max()
        .orElse(0);
  }

  @Test
  void should_get_no_more_than_it_tolerates_from_both_instances_until_it_is_warm() {
    // GIVEN
    ObjectNode config = DeploymentCluster.config(2);
    ((ObjectNode) config.withArray("services").get(0))
        .put("warmup_s", COLD_MS / 1e3)
        .put("cold_per_s", COLD_PER_S);
    cluster.store.put("op", "config", config);
    ProcessCluster.pause(SETTLE_MS);
    cluster.store.put("servers", "p-1", cluster.plain.entry("app").put("warmup_left_ms", COLD_MS));
    DeploymentCluster.await(() -> call("first", 10 * CALL_INTERVAL_MS).size() < 10);
    // WHEN
    List<Long> cold = call("cold", LOAD_MS);
    // THEN
    assertThat(mostInASecond(cold)).isLessThanOrEqualTo(TOLERATED_IN_A_SECOND);
    assertThat(cold.size()).isGreaterThan((int) (COLD_PER_S * LOAD_MS / 1e3 / 4));
    DeploymentCluster.await(() -> call("warm", 10 * CALL_INTERVAL_MS).size() >= 8);
  }
}
