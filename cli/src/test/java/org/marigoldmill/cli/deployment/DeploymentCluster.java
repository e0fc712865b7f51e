package org.marigoldmill.cli.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.marigoldmill.cli.process.DeploymentProcess;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;

/** Two instances in separate processes, with stand-ins for the platform's store and engines. */
public final class DeploymentCluster implements AutoCloseable {
  public static final ObjectMapper MAPPER = new ObjectMapper();
  static final int EVENTS = 6;
  static final int ITEMS = 12;
  static final int HEADER_BYTES = 8 * 1024;
  static final int BODY_BYTES = 64 * 1024;

  private static final Pattern PARTITIONS_HELD =
      Pattern.compile("partitions held \\S+ now=\\[(.*?)]");

  /** Partition of the model, which the stand-in of the store assigns to the second member. */
  private static final String MODEL_PARTITION = "1";

  private static final long EVENT_INTERVAL_MS = 100;
  private static final long AWAIT_TIMEOUT_MS = 40_000;
  private static final AtomicInteger NEXT_DIRECTORY = new AtomicInteger();

  final StoreStandin store = new StoreStandin();
  final EngineStandin engine = new EngineStandin("e-1", "m", EVENTS, EVENT_INTERVAL_MS);
  final EngineStandin plain = new EngineStandin("p-1", "", 0, 0);
  final List<DeploymentProcess> instances = new ArrayList<>();
  private final Path directory =
      Path.of(
          System.getProperty("marigoldmill.work"),
          "deployment-" + NEXT_DIRECTORY.incrementAndGet());
  private final HttpClient client = HttpClient.create("callers", 1);
  private final String[] extraSettings;

  /**
   * Starts two instances.
   *
   * @param extraSettings more lines of the settings of every instance
   */
  DeploymentCluster(String... extraSettings) {
    this.extraSettings = extraSettings;
    deleteFilesOfEarlierRuns();
    store.put("op", "config", config(1));
    store.put("servers", "e-1", engine.entry("llm"));
    store.put("servers", "p-1", plain.entry("app"));
    store.put("servers", "odd", MAPPER.createObjectNode().put("state", 7));
    startInstances("one", "two");
  }

  private void deleteFilesOfEarlierRuns() {
    try (Stream<Path> files = Files.exists(directory) ? Files.list(directory) : Stream.empty()) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts instances and waits until they are ready. */
  void startInstances(String... names) {
    startInstancesAt(store.address(), names);
  }

  /** Starts instances that reach the store at an address, and waits until they are ready. */
  void startInstancesAt(String storeAddress, String... names) {
    // Test classes run concurrently, so each cluster has its own directory.
    try {
      Files.createDirectories(directory);
      for (String name : names) {
        instances.add(DeploymentProcess.start(name, directory, storeAddress, extraSettings));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    instances.forEach(i -> await(() -> isReady(i)));
  }

  /** Kills every instance. */
  void killInstances() {
    instances.forEach(DeploymentProcess::kill);
    instances.clear();
  }

  @Override
  public void close() {
    killInstances();
    client.close();
    engine.close();
    plain.close();
    store.close();
  }

  boolean isReady(DeploymentProcess instance) {
    return request(instance.readinessAddress(), "GET", "/-/readyz", "", "").status() == 200;
  }

  /** Returns whether an instance holds the partition of the model, by its log. */
  boolean ownsModel(int instance) {
    return PARTITIONS_HELD
        .matcher(instances.get(instance).process().output())
        .results()
        .reduce((a, b) -> b)
        .filter(held -> List.of(held.group(1).split(", ", -1)).contains(MODEL_PARTITION))
        .isPresent();
  }

  HttpResponse call(String path, String key) {
    return requestWithKey(0, path, key);
  }

  /**
   * Returns the JSON body of an instance's answer with the results of a submission after an offset.
   *
   * <p>If the status is not 200, returns an object whose field {@code next} is -1 and whose field
   * {@code results} is empty.
   */
  JsonNode results(int instance, String id, int after) {
    HttpResponse answer = request(instance, "GET", "/-/lots/" + id + "?after=" + after);
    return answer.status() == 200
        ? read(answer)
        : MAPPER.createObjectNode().put("next", -1).set("results", MAPPER.createArrayNode());
  }

  HttpResponse item(int instance, String id, String item) {
    return request(instance, "GET", "/-/items/" + id + "?id=" + item);
  }

  HttpResponse request(int instance, String method, String path) {
    return request(instances.get(instance).callerAddress(), method, path, "", "key");
  }

  HttpResponse requestWithKey(int instance, String path, String key) {
    return request(
        instances.get(instance).callerAddress(), "GET", path, "call-" + path.hashCode(), key);
  }

  HttpResponse request(String address, String method, String path, String id, String key) {
    return send(address, method, path, id, key, new byte[0]);
  }

  HttpResponse post(int instance, String path, String id, JsonNode body) {
    return send(
        instances.get(instance).callerAddress(),
        "POST",
        path,
        id,
        "key",
        body.toString().getBytes(UTF_8));
  }

  /** Sends a GET request with more headers on a new connection. */
  HttpResponse sendWith(int instance, String path, String id, Header... more) {
    return exchange(
        HttpCall.get(instances.get(instance).callerAddress(), path)
            .headers(Stream.concat(headers(id, "key").stream(), Stream.of(more)).toList()));
  }

  /** Sends a request on a new connection; a failed call yields status 599 with its message. */
  HttpResponse send(
      String address, String method, String path, String id, String key, byte[] body) {
    return exchange(HttpCall.post(address, path, body).method(method).headers(headers(id, key)));
  }

  private static List<Header> headers(String id, String key) {
    return List.of(
        new Header("Host", "h"), new Header("Api-Key", key), new Header("X-Attempt-Id", id));
  }

  private HttpResponse exchange(HttpCall call) {
    try {
      return client.exchange(call.onFreshConnection());
    } catch (HttpCallException e) {
      return HttpResponse.text(599, e.getMessage());
    }
  }

  static ObjectNode submission() {
    return submission("item");
  }

  /** Returns a submission whose items have ids with a prefix. */
  public static ObjectNode submission(String prefix) {
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

  /** Returns the configuration of all routes, services and organisations. */
  public static ObjectNode config(long version) {
    ObjectNode config = MAPPER.createObjectNode().put("version", version);
    config
        .putObject("limits")
        .put("max_header_bytes", HEADER_BYTES)
        .put("max_body_bytes", BODY_BYTES)
        .put("header_timeout_ms", 1_000)
        .put("idle_timeout_ms", 10_000);
    ArrayNode routes = config.putArray("routes");
    route(routes, "/app/", "idempotent", "app").put("max_attempts", 2).put("slo_ms", 500);
    route(routes, "/long/", "idempotent", "app")
        .put("max_attempts", 1)
        .put("slo_ms", 500)
        .put("timeout_ms", 30_000);
    route(routes, "/crash/", "idempotent", "crash").put("max_attempts", 2).put("slo_ms", 500);
    route(routes, "/batch/", "weight_rollout", "llm")
        .put("max_attempts", 3)
        .put("run_slo_ms", 7_500)
        .put("retention_s", 60);
    route(routes, "/gen/", "idempotent", "llm")
        .put("max_attempts", 3)
        .put("streaming", true)
        .put("resumable", true);
    route(routes, "/once/", "mutating", "app").put("max_attempts", 2).put("slo_ms", 500);
    route(routes, "/gen/single/", "idempotent", "llm")
        .put("max_attempts", 1)
        .put("streaming", true)
        .put("resumable", true);
    route(routes, "/gen/once/", "mutating", "llm").put("max_attempts", 1).put("streaming", true);
    ArrayNode services = config.putArray("services");
    services.addObject().put("name", "app");
    ObjectNode llm = services.addObject().put("name", "llm");
    llm.putObject("engine").putArray("models").addObject().put("name", "m");
    ArrayNode tenants = config.putArray("tenants");
    tenants.addObject().put("name", "t").putArray("api_keys").add("key");
    tenants.addObject().put("name", "other").putArray("api_keys").add("other-key");
    return config;
  }

  /** Returns a configuration that has one more route than {@link #config}. */
  static ObjectNode configWithNewRoute(long version) {
    ObjectNode config = config(version);
    route(config.withArray("routes"), "/new/", "idempotent", "app")
        .put("max_attempts", 2)
        .put("slo_ms", 500);
    return config;
  }

  /** Adds a route. */
  public static ObjectNode route(ArrayNode routes, String prefix, String kind, String service) {
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

  private static JsonNode read(HttpResponse answer) {
    try {
      return MAPPER.readTree(answer.body());
    } catch (IOException e) {
      throw new IllegalStateException(answer.text(), e);
    }
  }

  /** Waits for a state that the system must reach; the time limit only ends a hanging test. */
  static void await(BooleanSupplier condition) {
    ProcessCluster.await("expected state of the deployment", AWAIT_TIMEOUT_MS, condition);
  }
}
