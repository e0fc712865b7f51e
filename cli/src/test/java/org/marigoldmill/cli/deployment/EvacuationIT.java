package org.marigoldmill.cli.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.concurrent.CompletableFuture.supplyAsync;
import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.deployment.DeploymentCluster.EVENTS;
import static org.marigoldmill.cli.deployment.DeploymentCluster.ITEMS;
import static org.marigoldmill.cli.deployment.DeploymentCluster.MAPPER;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.http.HttpResponse;

/** Zones that the operator evacuates; engines in zone a, which the instances prefer, and b. */
class EvacuationIT {
  /** Time from the store's answer until nothing new may be sent there ({@code evac_ms}). */
  private static final long EVAC_MS = 5_000;

  private static final int CALLS = 20;

  private DeploymentCluster cluster;
  private EngineStandin plainInB;
  private EngineStandin engineInB;

  @BeforeEach
  void start() {
    cluster = new DeploymentCluster();
    plainInB = new EngineStandin("p-2", "", 0, 0);
    engineInB = new EngineStandin("e-2", "m", EVENTS, 20);
    cluster.store.put("servers", "p-2", plainInB.entry("app").put("zone", "b"));
    cluster.store.put("servers", "e-2", engineInB.entry("llm").put("zone", "b"));
    DeploymentCluster.await(() -> logged("engine listed id=e-2"));
  }

  @AfterEach
  void stop() {
    plainInB.close();
    engineInB.close();
    cluster.close();
  }

  private boolean logged(String line) {
    return cluster.instances.stream().allMatch(i -> i.process().output().contains(line));
  }

  private void evacuate(String zone) {
    cluster.store.put("op", "evacuate/" + zone, MAPPER.createObjectNode().put("zone", zone));
  }

  private void takeBack(String zone) {
    cluster.store.put("op", "evacuate/" + zone, null);
  }

  private int startedInA() {
    return cluster.plain.startedRequests().size() + cluster.engine.startedRequests().size();
  }

  private void callAll(int status) {
    for (int i = 0; i < CALLS; i++) {
      assertThat(cluster.requestWithKey(i % 2, "/app/x" + i, "key").status()).isEqualTo(status);
    }
  }

  private void submitAndAwaitResults(String id) {
    ObjectNode submission = DeploymentCluster.submission(id);
    assertThat(cluster.post(0, "/batch/" + id, id, submission).status()).isEqualTo(202);
    awaitResults(id);
  }

  private void awaitResults(String id) {
    DeploymentCluster.await(() -> cluster.results(0, id, 0).get("next").asInt() == ITEMS);
  }

  @Test
  void should_get_nothing_new_while_what_runs_ends_whole() {
    // GIVEN
    callAll(200);
    assertThat(cluster.plain.startedRequests()).isNotEmpty();
    CompletableFuture<HttpResponse> running =
        supplyAsync(() -> cluster.sendWith(0, "/gen/running", "running"));
    DeploymentCluster.await(
        () ->
            cluster.engine.startedRequests().contains("running")
                || engineInB.startedRequests().contains("running"));
    // WHEN
    evacuate("a");
    for (long endMs = System.currentTimeMillis() + EVAC_MS; System.currentTimeMillis() < endMs; ) {
      callAll(200);
    }
    // THEN
    int before = startedInA();
    callAll(200);
    submitAndAwaitResults("later");
    assertThat(startedInA()).isEqualTo(before);
    assertThat(running.join().text()).contains("piece " + EVENTS);
    assertThat(cluster.engine.abortedRequests()).isEmpty();
    takeBack("a");
    DeploymentCluster.await(
        () -> cluster.requestWithKey(0, "/app/x", "key").status() == 200 && startedInA() > before);
  }

  @Test
  void should_hold_over_restarts_and_while_the_store_is_silent() {
    // GIVEN
    evacuate("a");
    cluster.killInstances();
    int before = startedInA();
    // WHEN
    cluster.startInstances("one", "two");
    cluster.store.silence();
    // THEN
    callAll(200);
    ProcessCluster.pause(EVAC_MS);
    callAll(200);
    assertThat(startedInA()).isEqualTo(before);
  }

  @Test
  void should_refuse_callers_and_owe_items_when_all_zones_of_a_service_are_evacuated() {
    // GIVEN
    evacuate("a");
    evacuate("b");
    evacuate("no-such-zone");
    ProcessCluster.pause(EVAC_MS);
    // WHEN
    HttpResponse refused = cluster.requestWithKey(0, "/app/refused", "key");
    int accepted =
        cluster.post(0, "/batch/owed", "owed", DeploymentCluster.submission("owed")).status();
    // THEN
    assertThat(refused.status()).isEqualTo(503);
    assertThat(new String(refused.body(), UTF_8)).contains("\"evacuated\"", "\"not-run\"");
    assertThat(refused.header("Retry-After")).isPresent();
    assertThat(accepted).isEqualTo(202);
    assertThat(logged("evacuated zone has no upstream, check its name zone=no-such-zone")).isTrue();
    ProcessCluster.pause(1_000);
    assertThat(startedInA() + engineInB.startedRequests().size()).isZero();
    takeBack("b");
    awaitResults("owed");
    assertThat(startedInA()).isZero();
  }

  @Test
  void should_get_new_weights_only_after_the_zone_is_taken_back() {
    // GIVEN
    evacuate("a");
    ProcessCluster.pause(EVAC_MS);
    // WHEN
    cluster.store.put(
        "op", "version/m", MAPPER.createObjectNode().put("model", "m").put("version", 2));
    DeploymentCluster.await(() -> !engineInB.orders().isEmpty());
    ProcessCluster.pause(1_000);
    // THEN
    assertThat(cluster.engine.orders()).isEmpty();
    takeBack("a");
    DeploymentCluster.await(() -> !cluster.engine.orders().isEmpty());
  }
}
