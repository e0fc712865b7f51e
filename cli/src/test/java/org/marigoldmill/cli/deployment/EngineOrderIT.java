package org.marigoldmill.cli.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;

/** Two instances whose configuration lets them order engines from the platform. */
class EngineOrderIT {
  private static final int SUBMISSIONS = 6;

  /** Time after which an instance knows which engines belong to the deployment. */
  private static final long SETTLE_MS = 6_000;

  private final Queue<Order> orders = new ConcurrentLinkedQueue<>();
  private final HttpServer platform =
      HttpServer.forAddress("127.0.0.1:0").post("/scale", this::order).start();
  private DeploymentCluster cluster;

  private record Order(String holder, long epoch, JsonNode body) {}

  private HttpResponse order(HttpServer.Request request) {
    try {
      orders.add(
          new Order(
              request.header("X-Duty-Holder").orElseThrow(),
              Long.parseLong(request.header("X-Fence-Token").orElseThrow()),
              DeploymentCluster.MAPPER.readTree(request.body())));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return HttpResponse.text(200, "");
  }

  @BeforeEach
  void start() {
    cluster =
        new DeploymentCluster("duty_api = \"" + platform.address() + "\"", "order_engines = true");
    ObjectNode config = DeploymentCluster.config(2);
    config
        .withArray("services")
        .forEach(
            s ->
                ((ObjectNode) s)
                    .putObject("autoscale")
                    .put("min", 1)
                    .put("max", 4)
                    .put("startup_s", 1)
                    .putObject("zone_prices")
                    .put("a", 1.2));
    cluster.store.put("op", "config", config);
    ProcessCluster.pause(SETTLE_MS);
  }

  @AfterEach
  void stop() {
    cluster.close();
    platform.close();
  }

  private void submit(int count) {
    for (int i = 0; i < count; i++) {
      String id = "s" + i;
      assertThat(cluster.post(i % 2, "/batch/" + id, id, DeploymentCluster.submission(id)).status())
          .isEqualTo(202);
    }
  }

  @Nested
  class Orders {
    @Test
    void should_order_engines_and_repeat_the_number_when_all_instances_are_replaced() {
      // WHEN
      submit(SUBMISSIONS);
      DeploymentCluster.await(() -> !orders.isEmpty());
      List<Order> first = List.copyOf(orders);
      cluster.killInstances();
      cluster.startInstances("three", "four");
      DeploymentCluster.await(() -> orders.size() > first.size());
      // THEN
      Order last = orders.stream().reduce((a, b) -> b).orElseThrow();
      assertThat(first.get(0).holder()).isIn("one", "two");
      assertThat(last.holder()).isIn("three", "four");
      assertThat(last.epoch()).isGreaterThan(first.get(0).epoch());
      assertThat(first.get(0).body().get("service").asText()).isEqualTo("llm");
      assertThat(first.get(0).body().get("zone").asText()).isEqualTo("a");
      assertThat(orders).allMatch(o -> o.body().get("desired").asInt() > 1);
      assertThat(orders).noneMatch(o -> o.body().path("spot").asBoolean());
    }

    @Test
    void should_order_nothing_when_the_engine_finishes_in_time() {
      // WHEN
      submit(1);
      DeploymentCluster.await(
          () -> cluster.results(0, "s0", 0).get("next").asInt() == DeploymentCluster.ITEMS);
      ProcessCluster.pause(SETTLE_MS);
      // THEN
      assertThat(orders).isEmpty();
    }
  }
}
