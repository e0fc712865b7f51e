package org.marigoldmill.cli.deployment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.deployment.DeploymentCluster.EVENTS;
import static org.marigoldmill.cli.deployment.DeploymentCluster.ITEMS;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpResponse;

/** Engines of two software versions side by side, behind two instances. */
class SoftwareVersionsIT {
  private static final int STREAMS = 8;

  private DeploymentCluster cluster;
  private EngineStandin newer;

  @BeforeEach
  void start() {
    cluster = new DeploymentCluster();
    DeploymentCluster.await(() -> logged("default software service=llm software=v1"));
    newer = new EngineStandin("e-2", "m", EVENTS, 20);
    newer.softwareVersion("v2");
    cluster.store.put("servers", "e-2", newer.entry("llm"));
    DeploymentCluster.await(() -> logged("engine listed id=e-2"));
  }

  @AfterEach
  void stop() {
    newer.close();
    cluster.close();
  }

  private boolean logged(String line) {
    return cluster.instances.stream().allMatch(i -> i.process().output().contains(line));
  }

  private boolean ranOnBoth(String request) {
    return cluster.engine.startedRequests().contains(request)
        && newer.startedRequests().contains(request);
  }

  private HttpResponse stream(int instance, String path, String id, Header... more) {
    return cluster.sendWith(instance, path, id, more);
  }

  @Nested
  class Items {
    @Test
    void should_hold_events_of_one_version_when_engines_break_off() {
      // GIVEN
      ObjectNode submission = DeploymentCluster.submission();
      submission
          .get("items")
          .forEach(i -> ((ObjectNode) i).put("path", i.get("path").asText() + "/broken"));
      // WHEN
      assertThat(cluster.post(0, "/batch/v1", "v1", submission).status()).isEqualTo(202);
      DeploymentCluster.await(() -> cluster.results(0, "v1", 0).get("next").asInt() == ITEMS);
      // THEN
      assertThat(IntStream.range(0, ITEMS).mapToObj(i -> "item-" + i))
          .noneMatch(SoftwareVersionsIT.this::ranOnBoth);
    }

    @Test
    void should_restart_when_no_engine_of_their_version_is_left() {
      // GIVEN
      cluster.store.put("servers", "e-2", null);
      DeploymentCluster.await(() -> logged("engine gone id=e-2"));
      assertThat(cluster.post(0, "/batch/v2", "v2", DeploymentCluster.submission()).status())
          .isEqualTo(202);
      DeploymentCluster.await(() -> !cluster.engine.startedRequests().isEmpty());
      // WHEN
      cluster.store.put("servers", "e-2", newer.entry("llm"));
      cluster.store.put("servers", "e-1", null);
      cluster.engine.close();
      // THEN
      DeploymentCluster.await(() -> cluster.results(0, "v2", 0).get("next").asInt() == ITEMS);
      cluster
          .results(0, "v2", 0)
          .get("results")
          .forEach(
              r ->
                  assertThat(r.get("text").asText()).isEqualTo(EngineStandin.completeText(EVENTS)));
    }
  }

  @Nested
  class Streams {
    @Test
    void should_go_on_at_the_version_that_began_them_when_an_engine_breaks_off() {
      for (int i = 0; i < STREAMS; i++) {
        String id = "broken-" + i;
        assertThat(stream(i % 2, "/gen/broken", id).status()).isEqualTo(200);
        assertThat(ranOnBoth(id)).isFalse();
      }
    }

    @Test
    void should_go_on_at_the_version_that_began_them_when_their_instance_is_dead() {
      // GIVEN
      for (int i = 0; i < STREAMS; i++) {
        assertThat(stream(0, "/gen/x", "begun-" + i).status()).isEqualTo(200);
      }
      assertThat(newer.startedRequests()).isNotEmpty();
      assertThat(cluster.engine.startedRequests()).isNotEmpty();
      cluster.instances.get(0).kill();
      // WHEN, THEN
      for (int i = 0; i < STREAMS; i++) {
        HttpResponse rest =
            stream(
                1,
                "/gen/x",
                "resumed-" + i,
                new Header("Last-Event-Id", "4"),
                new Header("Resumes", "begun-" + i));
        assertThat(rest.status()).isEqualTo(200);
        assertThat(rest.text()).startsWith("id: 5\n");
        assertThat(newer.startedRequests().contains("resumed-" + i))
            .isEqualTo(newer.startedRequests().contains("begun-" + i));
      }
    }

    @Test
    void should_be_refused_as_not_run_when_no_engine_of_their_version_is_left() {
      // GIVEN
      List<String> begun =
          IntStream.range(0, STREAMS)
              .mapToObj(i -> "left-" + i)
              .peek(id -> assertThat(stream(0, "/gen/x", id).status()).isEqualTo(200))
              .filter(id -> newer.startedRequests().contains(id))
              .toList();
      cluster.store.put("servers", "e-2", null);
      DeploymentCluster.await(() -> logged("engine gone id=e-2"));
      // WHEN, THEN
      assertThat(begun).isNotEmpty();
      for (String id : begun) {
        HttpResponse answer =
            stream(
                1,
                "/gen/x",
                "again-" + id,
                new Header("Last-Event-Id", "4"),
                new Header("Resumes", id));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(cluster.engine.startedRequests()).doesNotContain("again-" + id);
      }
    }

    @Test
    void should_start_while_the_store_is_silent_when_nobody_can_resume_them() {
      // GIVEN
      cluster.store.unavailable(true);
      // WHEN, THEN
      for (int i = 0; i < STREAMS; i++) {
        assertThat(stream(i % 2, "/gen/once/x", "once-" + i).status()).isEqualTo(200);
      }
    }

    @Test
    void should_go_on_or_be_refused_but_not_mix_versions_while_the_store_is_silent() {
      // GIVEN
      cluster.store.unavailable(true);
      // WHEN
      for (int i = 0; i < STREAMS; i++) {
        String id = "silent-" + i;
        int status = stream(0, "/gen/x", id).status();
        assertThat(status).isEqualTo(200);
        HttpResponse rest =
            stream(
                1,
                "/gen/x",
                "then-" + i,
                new Header("Last-Event-Id", "4"),
                new Header("Resumes", id));
        // THEN
        assertThat(rest.status()).isIn(200, 503);
        assertThat(newer.startedRequests()).doesNotContain("then-" + i);
      }
    }
  }

  private HttpResponse takeUp(int instance, String begun) {
    return stream(
        instance,
        "/gen/x",
        "again-" + begun,
        new Header("Last-Event-Id", "4"),
        new Header("Resumes", begun));
  }

  private static boolean ran(EngineStandin engine, String request) {
    return engine.startedRequests().contains(request);
  }

  /** Begins streams at both versions; returns their ids. */
  private List<String> begin() {
    List<String> begun =
        IntStream.range(0, 2 * STREAMS)
            .mapToObj(i -> "begun-" + i)
            .peek(id -> assertThat(stream(0, "/gen/x", id).status()).isEqualTo(200))
            .toList();
    assertThat(begun).anyMatch(id -> ran(newer, id)).anyMatch(id -> ran(cluster.engine, id));
    return begun;
  }

  @Nested
  class AfterAllInstancesWereKilled {
    /** Streams of the newer version went on at the older one: their records were forgotten. */
    @Test
    void should_go_on_at_the_version_that_began_them_when_the_store_has_forgotten_its_history() {
      // GIVEN
      List<String> begun = begin();
      // WHEN
      cluster.killInstances();
      cluster.store.forgetHistory();
      cluster.startInstances("one", "two");
      // THEN
      for (String id : begun) {
        assertThat(takeUp(1, id).status()).isEqualTo(200);
        assertThat(ran(newer, "again-" + id)).isEqualTo(ran(newer, id));
        assertThat(ran(cluster.engine, "again-" + id)).isEqualTo(ran(cluster.engine, id));
      }
    }

    @Test
    void should_be_refused_when_the_engines_that_began_them_have_left_meanwhile() {
      // GIVEN
      List<String> begun = begin();
      // WHEN
      cluster.killInstances();
      cluster.store.put("servers", "e-1", null);
      cluster.startInstances("one", "two");
      // THEN
      for (String id : begun) {
        assertThat(takeUp(1, id).status()).isEqualTo(ran(newer, id) ? 200 : 503);
        assertThat(ran(newer, "again-" + id)).isEqualTo(ran(newer, id));
      }
    }
  }

  /** The instance hears late that an engine has started again with newer software. */
  @Nested
  class AtAnInstanceOutOfStep {
    private static final int OUT_OF_STEP = 2;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private EngineStandin restarted;
    private List<String> begunBefore;

    @BeforeEach
    void restartEngine() {
      restarted = new EngineStandin("e-3", "m", EVENTS, 20);
      cluster.store.put("servers", "e-2", null);
      cluster.store.put("servers", "e-3", restarted.entry("llm"));
      DeploymentCluster.await(() -> logged("engine listed id=e-3"));
      begunBefore = begin("before");
      cluster.startInstancesAt(cluster.store.addressWithSilentNewsOfUpstreams(), "out-of-step");
      restarted.softwareVersion("v2");
      cluster.store.put("servers", "e-3", restarted.entry("llm").put("born", 2));
      DeploymentCluster.await(
          () ->
              cluster
                  .instances
                  .get(0)
                  .process()
                  .output()
                  .contains("engine listed id=e-3 service=llm software=v2"));
    }

    @AfterEach
    void closeEngine() {
      callers.shutdownNow();
      restarted.close();
    }

    /** Begins streams at the same time, before the instance out of step hears of the engine. */
    private List<String> begin(String prefix) {
      List<String> ids = IntStream.range(0, 2 * STREAMS).mapToObj(i -> prefix + "-" + i).toList();
      List<CompletableFuture<HttpResponse>> answers =
          ids.stream()
              .map(id -> CompletableFuture.supplyAsync(() -> stream(0, "/gen/x", id), callers))
              .toList();
      assertThat(answers).allMatch(a -> a.join().status() == 200);
      return ids;
    }

    @Test
    void should_go_on_at_the_version_that_began_them_when_an_engine_has_joined() {
      List<String> begun = begin("after").stream().filter(id -> ran(restarted, id)).toList();
      assertThat(begun).isNotEmpty();
      for (String id : begun) {
        assertThat(takeUp(OUT_OF_STEP, id).status()).isEqualTo(200);
        assertThat(ran(cluster.engine, "again-" + id)).isFalse();
      }
    }

    /** Streams went on at the engine that had started again, as one of the older software. */
    @Test
    void should_not_go_on_at_an_engine_that_has_left_their_version() {
      for (String id : begunBefore) {
        assertThat(takeUp(OUT_OF_STEP, id).status()).isEqualTo(200);
        assertThat(ran(restarted, "again-" + id)).isFalse();
      }
    }
  }
}
