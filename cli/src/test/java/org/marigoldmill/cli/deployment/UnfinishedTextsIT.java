package org.marigoldmill.cli.deployment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.deployment.DeploymentCluster.ITEMS;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.cli.process.ProcessCluster;

/** What becomes of texts that are unfinished when their owner or their step ends. */
class UnfinishedTextsIT {
  private static final int EVENTS = 60;
  private static final long EVENT_MS = 50;

  /** Enough for events to be stored; less than a text takes. */
  private static final long GENERATING_MS = 2_000;

  /** Longer than the other steps of a test, within what the operator allows. */
  private static final long SCORING_MS = 2_500;

  /** Instance to which the stand-in of the store assigns the model while both run. */
  private static final int OWNER = 1;

  private static final int OTHER = 0;

  private final EngineStandin engine = new EngineStandin("e-long", "m", EVENTS, EVENT_MS);
  private DeploymentCluster cluster;

  @BeforeEach
  void start() {
    cluster = new DeploymentCluster();
    cluster.store.put("servers", "e-1", null);
    cluster.store.put("servers", "e-long", engine.entry("llm"));
    for (int instance : List.of(OWNER, OTHER)) {
      String output = "engine listed id=e-long";
      DeploymentCluster.await(
          () -> cluster.instances.get(instance).process().output().contains(output));
    }
    awaitOneOwner();
  }

  /** Otherwise the first owner's runs would be counted too. */
  private void awaitOneOwner() {
    DeploymentCluster.await(() -> cluster.ownsModel(OWNER) && !cluster.ownsModel(OTHER));
  }

  @AfterEach
  void stop() {
    cluster.close();
    engine.close();
  }

  private void submit(String id) {
    submit(id, DeploymentCluster.submission("long"));
  }

  private void submit(String id, JsonNode body) {
    assertThat(cluster.post(OTHER, "/batch/" + id, id, body).status()).isEqualTo(202);
  }

  private void awaitResults(String id, int count) {
    DeploymentCluster.await(() -> cluster.results(OTHER, id, 0).get("next").asInt() >= count);
  }

  private void assertWholeTexts(String id) {
    assertThat(cluster.results(OTHER, id, 0).get("results"))
        .hasSize(ITEMS)
        .extracting(r -> r.get("text").asText())
        .containsOnly(EngineStandin.completeText(EVENTS));
  }

  private int runs(String item) {
    return Collections.frequency(engine.startedRequests(), item);
  }

  @Nested
  class LostOwner {
    /** SHORT: the longest texts of a step were begun anew by each owner. */
    @Test
    void should_not_begin_texts_anew_when_the_instance_that_generates_them_is_killed() {
      // GIVEN
      submit("s1");
      DeploymentCluster.await(() -> !engine.startedRequests().isEmpty());
      ProcessCluster.pause(GENERATING_MS);
      List<String> running = engine.startedRequests();
      // WHEN
      cluster.instances.get(OWNER).kill();
      awaitResults("s1", ITEMS);
      // THEN
      assertThat(engine.resumedRequests()).containsAll(running);
      assertWholeTexts("s1");
    }
  }

  @Nested
  class NextStep {
    /** SHORT: groups that came again were generated from the first event in each step. */
    @Test
    void should_not_generate_again_what_an_earlier_step_has_generated() {
      // GIVEN
      submit("s1");
      awaitResults("s1", 1);
      DeploymentCluster.await(() -> engine.startedRequests().size() > ITEMS / 2);
      ProcessCluster.pause(GENERATING_MS / 2);
      List<String> finished = cluster.results(OTHER, "s1", 0).get("results").findValuesAsText("id");
      List<String> unfinished =
          engine.startedRequests().stream().filter(i -> !finished.contains(i)).toList();
      // WHEN
      assertThat(cluster.request(OTHER, "DELETE", "/-/lots/s1").status()).isEqualTo(200);
      submit("s2");
      awaitResults("s2", ITEMS);
      // THEN
      assertThat(unfinished).isNotEmpty();
      assertThat(engine.resumedRequests()).containsAll(unfinished);
      assertThat(finished).isNotEmpty().allSatisfy(i -> assertThat(runs(i)).isEqualTo(1));
      assertWholeTexts("s2");
    }

    /** SHORT: a text whose score was missing was resumed after its last event, and never ended. */
    @Test
    void should_not_ask_an_engine_for_a_text_of_which_only_the_score_is_missing() {
      // GIVEN
      ObjectNode body = DeploymentCluster.submission("long");
      ((ObjectNode) body.at("/items/0/scorer")).put("path", "/app/echo/" + SCORING_MS);
      submit("s1", body);
      DeploymentCluster.await(() -> cluster.plain.startedRequests().contains("reward-long-0"));
      // WHEN
      assertThat(cluster.request(OTHER, "DELETE", "/-/lots/s1").status()).isEqualTo(200);
      submit("s2", body);
      awaitResults("s2", ITEMS);
      // THEN
      assertThat(runs("long-0")).isEqualTo(1);
      assertWholeTexts("s2");
    }
  }
}
