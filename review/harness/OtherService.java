import java.util.ArrayList;
import java.util.List;

/** A configuration adds a second service with the same model; the route of rollouts stays. */
final class OtherService extends Case {
  private static final int ITEMS = 8;

  /** Longer than config_apply_ms and max_stretch_ms together. */
  private static final long CONFIG_APPLY_MS = 8_000;

  private OtherService(String[] arguments) throws Exception {
    super(arguments);
  }

  public static void main(String[] arguments) throws Exception {
    new OtherService(arguments).end();
  }

  @Override
  int play() throws Exception {
    String batch =
        route(
            "batch",
            "weight_rollout",
            "llm",
            ",\"timeout_ms\":10000,\"slo_ms\":400,\"run_slo_ms\":7500,\"retention_s\":40,"
                + "\"max_attempts\":3");
    String chat =
        route("chat", "idempotent", "rollout-models", ",\"timeout_ms\":5000,\"slo_ms\":500");
    store.put("op", "config", config(1, batch, "\"key-one\""));
    Engine allowed = engine("i-llm", "llm");
    Engine other = engine("i-new", "rollout-models");
    Deployment.Instance one = deployment.start("edge-1", "z1");
    Deployment.Instance two = deployment.start("edge-2", "z2");
    if (!deployment.awaitReady(30_000)) {
      return NOT_RUN;
    }
    submit(one, "before");
    Http.pause(2_000);
    if (allowed.runs.isEmpty() || !other.runs.isEmpty()) {
      return NOT_RUN;
    }
    if (trouble) {
      String service =
          ",{\"name\":\"rollout-models\",\"health_path\":\"/healthz\",\"max_conns\":140,"
              + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,"
              + "\"kv_capacity\":94958,\"models\":[{\"name\":\"m\"}]}}";
      String config =
          config(2, batch + "," + chat, "\"key-one\"")
              .replace("],\"limits\"", service + "],\"limits\"");
      store.put("op", "config", config);
      record.line("configuration 2 stored: the service rollout-models, with the route /chat/");
    }
    Http.pause(CONFIG_APPLY_MS);
    submit(two, "after");
    Http.pause(4_000);
    long strayed = other.runs.keySet().stream().filter(id -> id.startsWith("item")).count();
    record.line("items run by llm=%d, by rollout-models=%d", allowed.runs.size(), strayed);
    return strayed > 0
        ? broken("ROUTE: items were run by a service to which no configuration sends them")
        : RULE_HELD;
  }

  private Engine engine(String id, String service) throws Exception {
    Engine engine = new Engine(id, service, "z1", "m", 8, record);
    engine.work =
        (request, connection) ->
            connection.respond(
                200,
                engine.answerHeaders(request)
                    + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n",
                bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    store.put("servers", id, engine.entry("ready"));
    return engine;
  }

  private void submit(Deployment.Instance instance, String name) {
    List<String> items = new ArrayList<>();
    for (int i = 0; i < ITEMS; i++) {
      items.add(
          "{\"id\":\"item-"
              + name
              + "-"
              + i
              + "\",\"path\":\"/batch/"
              + i
              + "\",\"headers\":{\"X-Model\":\"m\",\"X-Token-Counts\":\"10,10\"},"
              + "\"body\":\"Ym9keQ==\",\"tokens\":20,\"group\":\"g"
              + i / 4
              + "\"}");
    }
    String body =
        "{\"step\":0,\"model\":\"m\",\"min_version\":1,\"desired\":2,\"items\":["
            + String.join(",", items)
            + "]}";
    call(instance, "POST", "/batch/lot", "lot-" + name, KEY, bytes(body), 5_000);
  }
}
