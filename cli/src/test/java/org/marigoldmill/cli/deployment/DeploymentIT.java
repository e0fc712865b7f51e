package org.marigoldmill.cli.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.cli.process.DeploymentProcess;
import org.marigoldmill.http.CallFailure;
import org.marigoldmill.http.HttpAnswer;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpClient;

/** The whole path on the users' platform, over separate processes and small stand-ins. */
class DeploymentIT {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int EVENTS = 6;
  private static final long EVENT_MS = 100;
  private static final int ITEMS = 12;
  private static final long AWAIT_MS = 40_000;
  private static final AtomicInteger RUNS = new AtomicInteger();

  private final StoreStandin store = new StoreStandin();
  private final EngineStandin engine = new EngineStandin("e-1", "m", EVENTS, EVENT_MS);
  private final EngineStandin plain = new EngineStandin("p-1", "", 0, 0);
  private final HttpClient client = HttpClient.create("callers", 1);
  private final List<DeploymentProcess> instances = new ArrayList<>();

  @BeforeEach
  void start() throws IOException {
    store.put("op", "config", config(1));
    store.put("servers", "e-1", engine.entry("llm"));
    store.put("servers", "p-1", plain.entry("app"));
    store.put("servers", "odd", MAPPER.createObjectNode().put("state", 7));
    // Nested classes run at the same time, so each test has files of its own.
    Path directory =
        Path.of(System.getProperty("marigoldmill.work"), "deployment-" + RUNS.incrementAndGet());
    Files.createDirectories(directory);
    for (String name : List.of("one", "two")) {
      instances.add(DeploymentProcess.start(name, directory, store.address()));
    }
    instances.forEach(i -> await(() -> ask(i.ready(), "GET", "/-/readyz", "", "").status() == 200));
  }

  @AfterEach
  void stop() {
    instances.forEach(DeploymentProcess::kill);
    client.close();
    engine.close();
    plain.close();
    store.close();
  }

  @Nested
  class Submissions {
    @Test
    void should_give_every_result_once_when_the_instance_that_accepted_it_is_killed() {
      // GIVEN
      HttpAnswer accepted = post(0, "/batch/s1", "s1", submission());
      assertThat(accepted.status()).isEqualTo(202);
      assertThat(post(1, "/batch/s1", "s1", submission()).status()).isEqualTo(202);
      await(() -> results(1, "s1", 0).get("next").asInt() > 0);
      final JsonNode seen = results(0, "s1", 0).get("results");
      // WHEN
      instances.get(0).kill();
      // THEN
      await(() -> results(1, "s1", 0).get("next").asInt() == ITEMS);
      JsonNode all = results(1, "s1", 0).get("results");
      for (int i = 0; i < seen.size(); i++) {
        assertThat(all.get(i)).isEqualTo(seen.get(i));
      }
      TreeMap<String, JsonNode> byItem = new TreeMap<>();
      all.forEach(r -> byItem.put(r.get("id").asText(), r));
      assertThat(byItem).hasSize(ITEMS);
      byItem.forEach(
          (item, result) -> {
            assertThat(result.get("state").asText()).isEqualTo("completed");
            assertThat(result.get("text").asText()).isEqualTo(EngineStandin.text(EVENTS));
            assertThat(result.get("versions").toString()).isEqualTo("[1]");
            assertThat(result.get("score").asText())
                .isEqualTo(EngineStandin.score("reward-" + item));
          });
    }

    @Test
    void should_run_no_more_items_when_the_submission_has_ended() {
      // GIVEN
      assertThat(post(0, "/batch/s2", "s2", submission("ended")).status()).isEqualTo(202);
      assertThat(item(1, "s2", "ended-11").text()).isEqualTo("body of ended-11");
      // WHEN
      assertThat(ask(1, "DELETE", "/-/lots/s2").status()).isEqualTo(200);
      await(() -> ask(0, "DELETE", "/-/lots/s2").status() == 200);
      // THEN: the end has long been read once another submission has its first result
      assertThat(post(0, "/batch/s3", "s3", submission()).status()).isEqualTo(202);
      await(() -> results(0, "s3", 0).get("next").asInt() > 0);
      final long runs = runsOf("ended");
      await(() -> results(0, "s3", 0).get("next").asInt() == ITEMS);
      assertThat(runsOf("ended")).isEqualTo(runs).isLessThan(ITEMS);
    }

    private long runsOf(String prefix) {
      return engine.runs().stream().filter(r -> r.startsWith(prefix)).distinct().count();
    }

    @Test
    void should_know_only_submissions_of_the_callers_organisation() {
      assertThat(post(0, "/batch/s4", "s4", submission()).status()).isEqualTo(202);
      assertThat(ask(1, "GET", "/-/lots/s4?after=0").status()).isEqualTo(200);
      assertThat(ask(1, "GET", "/-/lots/unknown?after=0").status()).isEqualTo(404);
      assertThat(
              ask(instances.get(1).caller(), "GET", "/-/lots/s4?after=0", "", "other-key").status())
          .isEqualTo(404);
    }
  }

  @Nested
  class Signals {
    @Test
    void should_go_on_when_it_is_told_that_its_settings_have_changed() {
      // WHEN
      instances.get(0).process().hangUp();
      await(() -> instances.get(0).process().output().contains("settings read again"));
      // THEN
      assertThat(ask(instances.get(0).ready(), "GET", "/-/readyz", "", "").status()).isEqualTo(200);
    }

    @Test
    void should_end_with_code_0_and_lose_nothing_when_it_is_stopped() {
      // GIVEN
      assertThat(post(0, "/batch/s9", "s9", submission()).status()).isEqualTo(202);
      // WHEN
      instances.get(0).process().terminate();
      // THEN
      assertThat(instances.get(0).process().awaitExit()).isTrue();
      assertThat(instances.get(0).process().exitCode()).isEqualTo(0);
      await(() -> results(1, "s9", 0).get("next").asInt() == ITEMS);
    }
  }

  @Nested
  class Weights {
    @Test
    void should_order_each_named_version_once_and_by_one_holder_at_a_time() {
      // WHEN
      for (int version = 2; version <= 4; version++) {
        store.put(
            "op", "version/m", MAPPER.createObjectNode().put("model", "m").put("version", version));
        int wanted = version;
        await(() -> engine.orders().stream().anyMatch(o -> o.version() == wanted));
      }
      // THEN
      assertThat(engine.orders())
          .extracting(EngineStandin.Order::version)
          .containsExactly(2L, 3L, 4L);
      assertThat(new TreeSet<>(engine.orders().stream().map(EngineStandin.Order::fence).toList()))
          .hasSize(1);
    }
  }

  @Nested
  class Calls {
    @Test
    void should_pass_a_call_on_and_refuse_what_the_configuration_does_not_allow() {
      assertThat(call("/app/x", "key").text()).isEqualTo("answer");
      assertThat(call("/app/x", "wrong").status()).isEqualTo(401);
      assertThat(call("/nowhere", "key").status()).isEqualTo(404);
    }

    @Test
    void should_pass_every_event_once_when_the_engine_breaks_off_inside_one() {
      HttpAnswer stream = call("/gen/broken", "key");
      assertThat(stream.status()).isEqualTo(200);
      StringBuilder whole = new StringBuilder();
      for (int i = 1; i <= EVENTS; i++) {
        whole.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
      }
      assertThat(stream.text()).isEqualTo(whole.toString());
    }

    @Test
    void should_refuse_a_key_when_a_later_configuration_has_withdrawn_it() {
      assertThat(call("/app/x", "other-key").status()).isEqualTo(200);
      ObjectNode next = config(2);
      ((ArrayNode) next.get("tenants")).remove(1);
      store.put("op", "config", next);
      await(() -> call("/app/x", "other-key").status() == 401);
      assertThat(call("/app/x", "key").status()).isEqualTo(200);
    }

    private HttpAnswer call(String path, String key) {
      return ask(instances.get(0).caller(), "GET", path, "call-" + path.hashCode(), key);
    }
  }

  private JsonNode results(int instance, String id, int after) {
    HttpAnswer answer = ask(instance, "GET", "/-/lots/" + id + "?after=" + after);
    return answer.status() == 200
        ? read(answer)
        : MAPPER.createObjectNode().put("next", -1).set("results", MAPPER.createArrayNode());
  }

  private HttpAnswer item(int instance, String id, String item) {
    return ask(instance, "GET", "/-/items/" + id + "?id=" + item);
  }

  private HttpAnswer ask(int instance, String method, String path) {
    return ask(instances.get(instance).caller(), method, path, "", "key");
  }

  private HttpAnswer ask(String address, String method, String path, String id, String key) {
    return send(address, method, path, id, key, new byte[0]);
  }

  private HttpAnswer post(int instance, String path, String id, JsonNode body) {
    return send(
        instances.get(instance).caller(), "POST", path, id, "key", body.toString().getBytes(UTF_8));
  }

  private HttpAnswer send(
      String address, String method, String path, String id, String key, byte[] body) {
    HttpCall call =
        HttpCall.post(address, path, body)
            .method(method)
            .headers(
                List.of(
                    new Header("Host", "h"),
                    new Header("Api-Key", key),
                    new Header("X-Attempt-Id", id)))
            .onFreshConnection();
    try {
      return client.exchange(call);
    } catch (CallFailure e) {
      return HttpAnswer.text(599, e.getMessage());
    }
  }

  private static ObjectNode submission() {
    return submission("item");
  }

  private static ObjectNode submission(String prefix) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("step", 0).put("model", "m").put("min_version", 1).put("desired", 3);
    ArrayNode items = body.putArray("items");
    for (int i = 0; i < ITEMS; i++) {
      String id = prefix + "-" + i;
      ObjectNode item = items.addObject().put("id", id).put("path", "/gen/" + id);
      item.put("body", encoded("body of " + id)).put("tokens", 20).put("group", "g" + i / 4);
      item.putObject("headers").put("X-Model", "m").put("X-Token-Counts", "10,10");
      ObjectNode reward = item.putObject("scorer").put("id", "reward-" + id);
      reward.put("host", "h").put("path", "/app/score").put("body", encoded("score"));
    }
    return body;
  }

  private static ObjectNode config(long version) {
    ObjectNode config = MAPPER.createObjectNode().put("version", version);
    ArrayNode routes = config.putArray("routes");
    route(routes, "/app/", "idempotent", "app").put("max_attempts", 2).put("slo_ms", 500);
    route(routes, "/batch/", "weight_rollout", "llm")
        .put("max_attempts", 3)
        .put("run_slo_ms", 7_500)
        .put("retention_s", 60);
    route(routes, "/gen/", "idempotent", "llm")
        .put("max_attempts", 3)
        .put("streaming", true)
        .put("resumable", true);
    ArrayNode services = config.putArray("services");
    services.addObject().put("name", "app");
    ObjectNode llm = services.addObject().put("name", "llm");
    llm.putObject("engine").putArray("models").addObject().put("name", "m");
    ArrayNode tenants = config.putArray("tenants");
    tenants.addObject().put("name", "t").putArray("api_keys").add("key");
    tenants.addObject().put("name", "other").putArray("api_keys").add("other-key");
    return config;
  }

  private static ObjectNode route(ArrayNode routes, String prefix, String kind, String service) {
    ObjectNode route = routes.addObject().put("name", prefix).put("host", "h");
    return route
        .put("path_prefix", prefix)
        .put("kind", kind)
        .put("service", service)
        .put("timeout_ms", 5_000);
  }

  private static String encoded(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(UTF_8));
  }

  private static JsonNode read(HttpAnswer answer) {
    try {
      return MAPPER.readTree(answer.body());
    } catch (IOException e) {
      throw new IllegalStateException(answer.text(), e);
    }
  }

  /** Waits for a state that the system must reach; the limit only ends a run that hangs. */
  private static void await(BooleanSupplier reached) {
    long until = System.currentTimeMillis() + AWAIT_MS;
    while (!reached.getAsBoolean()) {
      assertThat(System.currentTimeMillis()).as("time to wait").isLessThan(until);
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
