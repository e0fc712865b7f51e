import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A tenant hands in items whose path and header values contain the ends of lines. */
final class SmuggledItems extends Case {
  private static final String OWN_TENANT = "tenant-one";

  private SmuggledItems(String[] arguments) throws Exception {
    super(arguments);
  }

  public static void main(String[] arguments) throws Exception {
    new SmuggledItems(arguments).end();
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
    store.put("op", "config", config(1, batch, "\"key-one\""));
    Engine engine = new Engine("i-llm", "llm", "z1", "m", 8, record);
    ConcurrentLinkedQueue<Map<String, String>> run = new ConcurrentLinkedQueue<>();
    engine.work =
        (request, connection) -> {
          run.add(request.headers());
          connection.respond(
              200,
              engine.answerHeaders(request)
                  + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n",
              bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        };
    store.put("servers", engine.id, engine.entry("ready"));
    Deployment.Instance one = deployment.start("edge-1", "z1");
    Deployment.Instance two = deployment.start("edge-2", "z2");
    if (!deployment.awaitReady(30_000)) {
      return NOT_RUN;
    }
    String path =
        trouble
            ? "/batch/a HTTP/1.1\\r\\nHost: "
                + HOST
                + "\\r\\nX-Attempt-Id: forged\\r\\n"
                + "X-Tenant: tenant-two\\r\\nX-Expect-Instance: i-llm\\r\\n"
                + "Content-Length: 0\\r\\n\\r\\nPOST /batch/a"
            : "/batch/a";
    String header = trouble ? "a\\r\\nX-Tenant: tenant-two" : "a";
    String body =
        "{\"step\":0,\"model\":\"m\",\"min_version\":1,\"desired\":1,\"items\":["
            + item("item-path", path, "m")
            + ","
            + item("item-header", "/batch/b", header)
            + "]}";
    record.line("batch submission %s", body);
    call(one, "POST", "/batch/lot1", "lot1", KEY, bytes(body), 5_000);
    Http.pause(2_000);
    call(two, "GET", "/-/lots/lot1?after=0", "read1", KEY, new byte[0], 3_000);
    call(two, "DELETE", "/-/lots/lot1", "end1", KEY, new byte[0], 3_000);
    if (run.isEmpty()) {
      record.line("nothing was run");
      return trouble ? RULE_HELD : NOT_RUN;
    }
    boolean unsent =
        run.stream()
            .anyMatch(h -> !List.of("item-path", "item-header").contains(h.get("x-attempt-id")));
    boolean foreign = run.stream().anyMatch(h -> !OWN_TENANT.equals(h.get("x-tenant")));
    record.line("runs=%d unsent_id=%s foreign_tenant=%s", run.size(), unsent, foreign);
    return unsent || foreign
        ? broken("UNASKED: the engine ran a smuggled request, or one as another tenant")
        : RULE_HELD;
  }

  private static String item(String id, String path, String note) {
    return "{\"id\":\""
        + id
        + "\",\"path\":\""
        + path
        + "\",\"headers\":{\"X-Model\":\"m\","
        + "\"X-Token-Counts\":\"10,10\",\"X-Note\":\""
        + note
        + "\"},\"body\":\"Ym9keQ==\",\"tokens\":20,\"group\":\"g1\"}";
  }
}
