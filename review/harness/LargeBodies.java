import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A burst of requests with bodies of all sizes up to the limit of the configuration. */
final class LargeBodies extends Case {
  private static final int REQUESTERS = 100;
  private static final int MAX_BODY_BYTES = 33_554_432;
  private static final int MIN_BODY_BYTES = 4 * 1024;
  private static final int USUAL_BODY_BYTES = 600;
  private static final long UPLOAD_MS = 5_000;

  /** Time budget of the requesters, after which they leave. */
  private static final long BUDGET_MS = 20_000;

  private static final int UPLOAD_STEPS = 50;

  /** Longer than contact_ms and than the time that a burst excuses. */
  private static final long CALM_MS = 8_000;

  /** config_apply_ms and max_stretch_ms together. */
  private static final long CONFIG_APPLY_MS = 7_000;

  private static final int TIMEOUT_MS = 5_000;
  private static final int PROBES = 8;

  private LargeBodies(String[] arguments) throws Exception {
    super(arguments);
  }

  public static void main(String[] arguments) throws Exception {
    new LargeBodies(arguments).end();
  }

  @Override
  int play() throws Exception {
    String limits = ",\"timeout_ms\":5000,\"slo_ms\":1000,\"max_attempts\":2";
    String app = route("app", "idempotent", "app", limits);
    String old = route("old", "idempotent", "app", limits);
    store.put("op", "config", config(1, app + "," + old, "\"key-one\",\"key-old\""));
    Engine first = new Engine("i-one", "app", "z1", "", 6, record);
    Engine second = new Engine("i-two", "app", "z2", "", 6, record);
    store.put("servers", first.id, first.entry("ready"));
    store.put("servers", second.id, second.entry("ready"));
    Deployment.Instance one = deployment.start("edge-1", "z1");
    deployment.start("edge-2", "z2");
    if (!deployment.awaitReady(30_000)) {
      return NOT_RUN;
    }
    Http.Message before = call(one, "POST", "/old/x", "before", "key-old", bytes("b"), 5_000);
    if (before == null || before.status() != 200) {
      return NOT_RUN;
    }
    burst(one);
    record.line("calm for %d ms", CALM_MS);
    Http.pause(CALM_MS);
    store.put("op", "config", config(2, app, "\"key-one\""));
    record.line("configuration 2 stored: without key-old and without the route /old/");
    Http.pause(CONFIG_APPLY_MS);
    List<Thread> probes = new ArrayList<>();
    AtomicInteger unanswered = new AtomicInteger();
    for (int i = 0; i < PROBES; i++) {
      probes.add(Http.start("probe", () -> probe(one, "usual", "/app/x", KEY, unanswered)));
      probes.add(
          Http.start("probe", () -> probe(one, "withdrawn", "/app/x", "key-old", unanswered)));
      probes.add(Http.start("probe", () -> probe(one, "dropped", "/old/x", KEY, unanswered)));
      Http.pause(200);
    }
    for (Thread probe : probes) {
      probe.join();
    }
    String log = Files.readString(one.log, StandardCharsets.ISO_8859_1);
    log.lines()
        .filter(l -> l.contains("Exception in thread"))
        .forEach(l -> record.line("log of edge-1: %s", l));
    long stale =
        List.of(first, second).stream()
            .flatMap(e -> e.runs.keySet().stream())
            .filter(id -> id.startsWith("withdrawn") || id.startsWith("dropped"))
            .count();
    record.line(
        "edge-1 ready=%s alive=%s probes=%d unanswered=%d run_by_old_configuration=%d",
        one.isReady(), one.process.isAlive(), 3 * PROBES, unanswered.get(), stale);
    if (stale > 0) {
      return broken("CONFIG: a withdrawn key or a dropped route was served after the calm");
    }
    return 2 * unanswered.get() > 3 * PROBES
        ? broken("CONFIG: requests have no answer half a second after the time of their route")
        : RULE_HELD;
  }

  /** Sends a request and counts it if it has no answer half a second after its route's time. */
  private void probe(
      Deployment.Instance instance,
      String kind,
      String path,
      String key,
      AtomicInteger unanswered) {
    Http.Message answer =
        call(instance, "POST", path, newId(kind), key, bytes("b"), TIMEOUT_MS + 500);
    if (answer == null) {
      unanswered.incrementAndGet();
    }
  }

  private void burst(Deployment.Instance instance) throws InterruptedException {
    List<Thread> uploads = new ArrayList<>();
    AtomicInteger served = new AtomicInteger();
    double ratio = Math.log((double) MAX_BODY_BYTES / MIN_BODY_BYTES);
    for (int i = 0; i < REQUESTERS; i++) {
      int size = (int) (MAX_BODY_BYTES / Math.exp(ratio * i / REQUESTERS));
      int bytes = trouble ? size : USUAL_BODY_BYTES;
      String id = newId("upload");
      uploads.add(Http.start("upload", () -> upload(instance, id, bytes, served)));
      Http.pause(10);
    }
    for (Thread upload : uploads) {
      upload.join();
    }
    record.line("burst ended requests=%d served=%d", REQUESTERS, served.get());
  }

  private static void closeAfter(Http.Connection connection, long ms) {
    Http.pause(ms);
    try {
      connection.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  private void upload(Deployment.Instance instance, String id, int bytes, AtomicInteger served) {
    String outcome;
    try (Http.Connection connection = Http.Connection.open(instance.callers, 30_000)) {
      Http.start("time-budget", () -> closeAfter(connection, BUDGET_MS));
      connection.write(
          "POST /app/x HTTP/1.1\r\n"
              + headers(id, KEY, BUDGET_MS)
              + "Content-Length: "
              + bytes
              + "\r\n\r\n");
      byte[] body = new byte[bytes];
      for (int i = 0; i < UPLOAD_STEPS; i++) {
        int from = (int) ((long) bytes * i / UPLOAD_STEPS);
        int to = (int) ((long) bytes * (i + 1) / UPLOAD_STEPS);
        connection.out.write(body, from, to - from);
        Http.pause(UPLOAD_MS / UPLOAD_STEPS);
      }
      Http.Message answer = connection.read();
      outcome = answer == null ? "closed" : answer.start();
      if (answer != null && answer.status() == 200) {
        served.incrementAndGet();
      }
    } catch (IOException e) {
      outcome = e.toString();
    }
    record.line("upload id=%s body_bytes=%d %s", id, bytes, outcome);
  }
}
