import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine that fails a reward call twice sends its first answer a second time, late. */
final class LateCopies extends Case {
  private static final int FAILING_RUNS = 2;
  private static final int MAX_ATTEMPTS = 3;
  private static final int REWARD_MAX_ATTEMPTS = 3;
  private static final long RUN_MS = 100;

  /** The answer that each connection owes a second copy of. */
  private final Map<Http.Connection, byte[]> owedCopies = new ConcurrentHashMap<>();

  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger copies = new AtomicInteger();
  private final AtomicInteger completed = new AtomicInteger();

  private LateCopies(String[] arguments) throws Exception {
    super(arguments);
  }

  public static void main(String[] arguments) throws Exception {
    new LateCopies(arguments).end();
  }

  @Override
  int play() throws Exception {
    String batch =
        route(
            "batch",
            "weight_rollout",
            "llm",
            ",\"timeout_ms\":10000,\"slo_ms\":400,\"run_slo_ms\":7500,\"retention_s\":40,"
                + "\"max_attempts\":"
                + MAX_ATTEMPTS);
    String reward =
        route(
            "reward",
            "idempotent",
            "app",
            ",\"timeout_ms\":5000,\"slo_ms\":500,\"max_attempts\":" + REWARD_MAX_ATTEMPTS);
    store.put("op", "config", config(1, batch + "," + reward, "\"key-one\""));
    Engine llm = new Engine("i-llm", "llm", "z1", "m", 8, record);
    llm.work =
        (request, connection) ->
            connection.respond(
                200,
                llm.answerHeaders(request)
                    + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n",
                bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    Engine app = new Engine("i-app", "app", "z1", "", 6, record);
    app.work = (request, connection) -> run(app, request, connection);
    store.put("servers", llm.id, llm.entry("ready"));
    store.put("servers", app.id, app.entry("ready"));
    Deployment.Instance one = deployment.start("edge-1", "z1");
    if (!deployment.awaitReady(30_000)) {
      return NOT_RUN;
    }
    Http.pause(2_000);
    String body =
        "{\"step\":0,\"model\":\"m\",\"min_version\":1,\"desired\":1,\"items\":[{\"id\":\"item1\","
            + "\"path\":\"/batch/a\",\"headers\":{\"X-Model\":\"m\",\"X-Token-Counts\":\"10,10\"},"
            + "\"body\":\"Ym9keQ==\",\"tokens\":20,\"group\":\"g1\",\"scorer\":{\"id\":\"reward1\","
            + "\"host\":\""
            + HOST
            + "\",\"path\":\"/reward/a\",\"body\":\"Ym9keQ==\"}}]}";
    Http.Message accepted = call(one, "POST", "/batch/lot1", "lot1", KEY, bytes(body), 5_000);
    if (accepted == null || accepted.status() != 202) {
      return NOT_RUN;
    }
    String result = "";
    for (int i = 0; i < 20 && !result.contains("\"state\""); i++) {
      Http.pause(500);
      Http.Message page =
          call(one, "GET", "/-/lots/lot1?after=0", newId("read"), KEY, new byte[0], 3_000);
      result = page == null ? "" : page.text();
    }
    Http.pause(1_500);
    record.line(
        "max_attempts=%d runs answered 500=%d late copies=%d runs completed=%d",
        MAX_ATTEMPTS, failed.get(), copies.get(), completed.get());
    boolean deadLetter = result.contains("dead_letter");
    if (!deadLetter && !result.contains("completed")) {
      return NOT_RUN;
    }
    return deadLetter && failed.get() < MAX_ATTEMPTS
        ? broken(
            "MIXED: the item is dead_letter before max_attempts answers of 500 to its reward call")
        : RULE_HELD;
  }

  private void run(Engine engine, Http.Message request, Http.Connection connection)
      throws Exception {
    byte[] copy = owedCopies.remove(connection);
    if (copy != null) {
      record.line("late second copy of the answer to the request before on this channel");
      copies.incrementAndGet();
      connection.write(copy);
    }
    int run = engine.runsOf(request.header("X-Attempt-Id"));
    Http.pause(RUN_MS);
    if (run <= FAILING_RUNS) {
      record.line("answer of run %d: 500", run);
      failed.incrementAndGet();
      byte[] answer =
          bytes(
              "HTTP/1.1 500 S\r\n"
                  + engine.answerHeaders(request)
                  + "Content-Length: 5\r\n\r\n"
                  + "error");
      if (trouble && run == 1) {
        owedCopies.put(connection, answer);
      }
      connection.write(answer);
      return;
    }
    record.line("answer of run %d: 200", run);
    engine.answer(request, connection);
    completed.incrementAndGet();
  }
}
