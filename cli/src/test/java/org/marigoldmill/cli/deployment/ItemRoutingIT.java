package org.marigoldmill.cli.deployment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.deployment.DeploymentCluster.EVENTS;
import static org.marigoldmill.cli.deployment.DeploymentCluster.ITEMS;
import static org.marigoldmill.cli.deployment.DeploymentCluster.MAPPER;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpResponse;

/** Two services that serve the same model, of which a route leads to one. */
class ItemRoutingIT {
  /** Services that a hash map lists before and after the service of the route. */
  private static final Map<String, String> OTHERS = Map.of("second", "e-2", "other", "e-3");

  private DeploymentCluster cluster;
  private Map<String, EngineStandin> others;

  @BeforeEach
  void start() {
    cluster = new DeploymentCluster();
    others =
        Map.of(
            "second",
            new EngineStandin("e-2", "m", EVENTS, 20),
            "other",
            new EngineStandin("e-3", "m", EVENTS, 20));
    applyConfig(2, config -> {});
    others.forEach(
        (service, e) -> cluster.store.put("servers", OTHERS.get(service), e.entry(service)));
    OTHERS.values().forEach(id -> awaitLogged("engine listed id=" + id));
  }

  @AfterEach
  void stop() {
    others.values().forEach(EngineStandin::close);
    cluster.close();
  }

  /** Stores a configuration with the other services, and waits until it is in force. */
  private void applyConfig(long version, Consumer<ObjectNode> change) {
    ObjectNode config = DeploymentCluster.config(version);
    OTHERS
        .keySet()
        .forEach(
            name -> {
              ObjectNode service = config.withArray("services").addObject().put("name", name);
              service.putObject("engine").putArray("models").addObject().put("name", "m");
              DeploymentCluster.route(
                  config.withArray("routes"), "/chat-" + name + "/", "idempotent", name);
            });
    DeploymentCluster.route(config.withArray("routes"), "/v" + version + "/", "idempotent", "app");
    change.accept(config);
    cluster.store.put("op", "config", config);
    IntStream.range(0, cluster.instances.size())
        .forEach(
            i ->
                DeploymentCluster.await(
                    () -> cluster.requestWithKey(i, "/v" + version + "/x", "key").status() == 200));
  }

  private void awaitLogged(String line) {
    DeploymentCluster.await(
        () -> cluster.instances.stream().allMatch(i -> i.process().output().contains(line)));
  }

  private static ObjectNode batchRoute(ObjectNode config) {
    for (JsonNode route : config.get("routes")) {
      if (route.get("path_prefix").asText().equals("/batch/")) {
        return (ObjectNode) route;
      }
    }
    throw new AssertionError("no route of submissions");
  }

  private static void removeBatchRoute(ObjectNode config) {
    ArrayNode routes = config.withArray("routes");
    IntStream.range(0, routes.size())
        .filter(i -> routes.get(i).get("path_prefix").asText().equals("/batch/"))
        .findFirst()
        .ifPresent(routes::remove);
  }

  private void submit(String id) {
    HttpResponse answer = cluster.post(0, "/batch/" + id, id, DeploymentCluster.submission(id));
    assertThat(answer.status()).isEqualTo(202);
  }

  private void awaitResults(String id) {
    DeploymentCluster.await(() -> cluster.results(1, id, 0).get("next").asInt() == ITEMS);
  }

  private static long itemsRunBy(EngineStandin engine, String submission) {
    return engine.startedRequests().stream()
        .filter(r -> r.startsWith(submission + "-"))
        .distinct()
        .count();
  }

  @Nested
  class Items {
    /** Items ran at services that have the same model, but to which no route sends them. */
    @Test
    void should_run_only_at_the_service_of_their_route() {
      submit("routed");
      awaitResults("routed");
      assertThat(itemsRunBy(cluster.engine, "routed")).isEqualTo(ITEMS);
      assertThat(others.values()).allMatch(e -> itemsRunBy(e, "routed") == 0);
    }

    @Test
    void should_run_at_the_new_service_when_their_route_has_been_moved() {
      applyConfig(3, config -> batchRoute(config).put("service", "other"));
      submit("moved");
      awaitResults("moved");
      assertThat(itemsRunBy(others.get("other"), "moved")).isEqualTo(ITEMS);
      assertThat(itemsRunBy(cluster.engine, "moved")).isZero();
      assertThat(itemsRunBy(others.get("second"), "moved")).isZero();
    }

    @Test
    void should_run_at_all_services_of_a_split_route_and_nowhere_else() {
      applyConfig(
          3,
          config -> {
            ArrayNode backends = batchRoute(config).putArray("backends");
            backends.addObject().put("service", "llm").put("weight", 1);
            backends.addObject().put("service", "other").put("weight", 1);
          });
      submit("split");
      awaitResults("split");
      assertThat(itemsRunBy(cluster.engine, "split")).isPositive();
      assertThat(itemsRunBy(others.get("other"), "split")).isPositive();
      assertThat(itemsRunBy(others.get("second"), "split")).isZero();
    }

    @Test
    void should_stay_at_the_service_that_accepted_them_when_their_route_is_gone() {
      submit("gone");
      applyConfig(3, ItemRoutingIT::removeBatchRoute);
      awaitResults("gone");
      assertThat(others.values()).allMatch(e -> itemsRunBy(e, "gone") == 0);
    }

    @Test
    void should_begin_anew_when_the_service_that_began_them_is_no_longer_theirs() {
      // GIVEN
      submit("begun");
      DeploymentCluster.await(() -> itemsRunBy(cluster.engine, "begun") > 1);
      applyConfig(3, config -> batchRoute(config).put("service", "other"));
      // WHEN
      cluster.store.put("servers", "e-1", null);
      cluster.engine.close();
      // THEN
      awaitResults("begun");
      assertThat(others.get("other").resumedRequests()).isEmpty();
      cluster
          .results(1, "begun", 0)
          .get("results")
          .forEach(
              r ->
                  assertThat(r.get("text").asText()).isEqualTo(EngineStandin.completeText(EVENTS)));
    }
  }

  @Nested
  class Streams {
    private static final int STREAMS = 12;

    /** The id of the later request chose the service, so two services wrote one text. */
    @Test
    void should_go_on_at_the_service_that_began_them_when_their_route_is_split() {
      // GIVEN
      applyConfig(
          3,
          config -> {
            ArrayNode routes = config.withArray("routes");
            ObjectNode split = DeploymentCluster.route(routes, "/gen/split/", "idempotent", "llm");
            split.put("max_attempts", 2).put("streaming", true).put("resumable", true);
            ArrayNode backends = split.putArray("backends");
            backends.addObject().put("service", "llm").put("weight", 1);
            backends.addObject().put("service", "other").put("weight", 1);
          });
      // WHEN, THEN
      for (int i = 0; i < STREAMS; i++) {
        String begun = "begun-" + i;
        String again = "again-" + i;
        assertThat(cluster.sendWith(0, "/gen/split/x", begun).status()).isEqualTo(200);
        Header[] resumed = {new Header("Last-Event-Id", "4"), new Header("Resumes", begun)};
        assertThat(cluster.sendWith(1, "/gen/split/x", again, resumed).status()).isEqualTo(200);
        assertThat(others.get("other").startedRequests().contains(again))
            .isEqualTo(others.get("other").startedRequests().contains(begun));
      }
    }
  }

  @Nested
  class Weights {
    /** Only the service that came last in a hash map got new versions of a shared model. */
    @Test
    void should_be_loaded_by_the_engines_of_every_service_with_the_model() {
      cluster.store.put(
          "op", "version/m", MAPPER.createObjectNode().put("model", "m").put("version", 2));
      DeploymentCluster.await(
          () ->
              cluster.engine.orders().size() == 1
                  && others.values().stream().allMatch(e -> e.orders().size() == 1));
    }
  }
}
