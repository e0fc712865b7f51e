package org.marigoldmill.cli.deployment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.deployment.DeploymentCluster.ITEMS;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Items whose texts take much longer to score, at upstreams that tell when time is up or not. */
class SlowRewardIT {
  /** Within what the operator allows a call on the route. */
  private static final int SCORING_MS = 2_000;

  /** SHORT: such an item was never listed, so its trainer waited for it in step after step. */
  @ParameterizedTest
  @ValueSource(strings = {"/app/echo/", "/app/timed/"})
  void should_be_listed_when_scoring_takes_longer_than_usual(String path) {
    try (DeploymentCluster cluster = new DeploymentCluster()) {
      // GIVEN
      ObjectNode submission = DeploymentCluster.submission("scored");
      ((ObjectNode) submission.at("/items/0/scorer")).put("path", path + SCORING_MS);
      // WHEN
      assertThat(cluster.post(0, "/batch/s1", "s1", submission).status()).isEqualTo(202);
      // THEN
      DeploymentCluster.await(() -> cluster.results(1, "s1", 0).get("next").asInt() == ITEMS);
      assertThat(cluster.results(1, "s1", 0).get("results"))
          .allMatch(r -> r.get("score").asText().startsWith("score-of-"));
    }
  }
}
