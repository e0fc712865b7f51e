import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The store loses answers around the end of a usage window; later the machines are restarted. */
final class TwoReports extends Case {
  private static final long WINDOW_MS = 5_000;

  /** Time for which the store loses answers, and the largest share of the writes that it loses. */
  private static final long LOSSY_MS = 4_500;

  private static final double MAX_LOST_SHARE = 0.35;

  /** Bounds of the time after which a write whose answer is lost is done. */
  private static final long MIN_LATE_MS = 1_000;

  private static final long MAX_LATE_MS = 6_000;

  /** Time after the end of the window at which the lost tallies are done. */
  private static final long TALLY_DONE_MS = 3_700;

  private static final int FIELD_INSTANCE = 1;
  private static final int FIELD_TALLY = 2;
  private static final int FIELD_SEAL = 3;

  private volatile long lossyFromMs = Long.MAX_VALUE;
  private volatile long window = -1;
  private volatile String victim = "";
  private volatile boolean sealLost;
  private final AtomicInteger writes = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();

  private TwoReports(String[] arguments) throws Exception {
    super(arguments);
  }

  public static void main(String[] arguments) throws Exception {
    new TwoReports(arguments).end();
  }

  @Override
  int play() throws Exception {
    String app =
        route("app", "idempotent", "app", ",\"timeout_ms\":5000,\"slo_ms\":500,\"max_attempts\":2");
    String batch =
        route(
            "batch",
            "weight_rollout",
            "llm",
            ",\"timeout_ms\":10000,\"slo_ms\":400,\"run_slo_ms\":7500,\"retention_s\":40,"
                + "\"max_attempts\":3");
    store.put("op", "config", config(1, app + "," + batch, "\"key-one\""));
    Engine plain = new Engine("i-app", "app", "z1", "", 6, record);
    Engine llm = new Engine("i-llm", "llm", "z2", "m", 8, record);
    llm.work =
        (request, connection) ->
            connection.respond(
                200,
                llm.answerHeaders(request)
                    + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n",
                bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    store.put("servers", plain.id, plain.entry("ready"));
    store.put("servers", llm.id, llm.entry("ready"));
    store.interceptor = this::intercept;
    Deployment.Instance one = deployment.start("edge-1", "z1");
    Deployment.Instance two = deployment.start("edge-2", "z2");
    if (!deployment.awaitReady(30_000)) {
      return NOT_RUN;
    }
    Http.start("traffic", () -> traffic(one, two));
    // The holder of the duties has reported a window before.
    for (int i = 0; i < 200 && dutyApi.calls.size() < 2; i++) {
      Http.pause(100);
    }
    if (dutyApi.calls.isEmpty()) {
      return NOT_RUN;
    }
    Deployment.Instance holder =
        dutyApi.calls.get(dutyApi.calls.size() - 1).holder().equals("edge-1") ? one : two;
    Deployment.Instance other = holder == one ? two : one;
    victim = other.name;
    long now = System.currentTimeMillis();
    window = now / WINDOW_MS;
    long endMs = (window + 1) * WINDOW_MS;
    record.line(
        "holder=%s other=%s window=%d ends in %d ms", holder.name, victim, window, endMs - now);
    lossyFromMs = endMs;
    Http.pause(endMs + LOSSY_MS - System.currentTimeMillis());
    double share = (double) lost.get() / Math.max(1, writes.get());
    record.line("lossy period ended writes=%d lost=%d share=%.2f", writes.get(), lost.get(), share);
    if (trouble && (!sealLost || share > MAX_LOST_SHARE)) {
      return NOT_RUN;
    }
    Http.pause(endMs + 21_000 - System.currentTimeMillis());
    restart(other, endMs + 25_500);
    Http.pause(endMs + 30_500 - System.currentTimeMillis());
    restart(holder, 0);
    Http.pause(6_000);
    return verdict();
  }

  /** Stops an instance by SIGTERM and starts it again, not before a time. */
  private void restart(Deployment.Instance instance, long notBeforeMs) throws Exception {
    record.line("SIGTERM to %s", instance.name);
    instance.signal("TERM");
    instance.process.waitFor();
    record.line("%s has ended", instance.name);
    Http.pause(Math.max(500, notBeforeMs - System.currentTimeMillis()));
    deployment.launch(instance);
  }

  private int verdict() {
    Map<String, String> first = new TreeMap<>();
    boolean differ = false;
    for (DutyApi.Call call : dutyApi.calls) {
      if (!call.path().equals("/usage")) {
        continue;
      }
      String id = Store.field(call.body(), "window_id");
      String counts = counts(call.body());
      String before = first.putIfAbsent(id, counts);
      if (before != null && !before.equals(counts)) {
        record.line("window %s reported as %s and as %s by %s", id, before, counts, call.holder());
        differ = true;
      }
    }
    return differ
        ? broken("ONE: two usage reports for one window with different counts were accepted")
        : RULE_HELD;
  }

  private static String counts(String body) {
    String counts = body.substring(body.indexOf("\"counts\""));
    return new TreeMap<>(
            Map.of(
                "one", Store.field(counts, "tenant-one"), "two", Store.field(counts, "tenant-two")))
        .toString();
  }

  /** Sends some requests and submissions a second to each instance until the case ends. */
  private void traffic(Deployment.Instance... instances) {
    int n = 0;
    while (true) {
      for (Deployment.Instance instance : instances) {
        String id = newId("r");
        Http.call(instance.callers, "POST", "/app/x", headers(id, KEY, 2_000), bytes("b"), 2_000);
      }
      String id = newId("lot");
      String items =
          "{\"id\":\"item-"
              + id
              + "\",\"path\":\"/batch/a\",\"headers\":{\"X-Model\":\"m\","
              + "\"X-Token-Counts\":\"10,10\"},\"body\":\"\",\"tokens\":20,\"group\":\"g1\"}";
      Http.call(
          instances[n++ % instances.length].callers,
          "POST",
          "/batch/" + id,
          headers(id, KEY, 2_000),
          bytes(
              "{\"step\":0,\"model\":\"m\",\"min_version\":1,\"desired\":1,\"items\":["
                  + items
                  + "]}"),
          2_000);
      Http.pause(150);
    }
  }

  /** Loses the answers to some appends of the log that carries usage; they are done late. */
  private boolean intercept(Http.Message request, Http.Connection connection) throws Exception {
    long sinceEndMs = System.currentTimeMillis() - lossyFromMs;
    boolean lossy = sinceEndMs >= 0 && sinceEndMs <= LOSSY_MS;
    if (!lossy || !request.path().equals("/-/log-append")) {
      return false;
    }
    writes.incrementAndGet();
    if (!trouble || !request.query("topic").equals("fleet")) {
      return false;
    }
    for (byte[] content : Store.recordsOf(request)) {
      Map<Integer, byte[]> fields = fields(content);
      String instance = new String(fields.getOrDefault(FIELD_INSTANCE, new byte[0]));
      boolean tally =
          fields.containsKey(FIELD_TALLY)
              && instance.equals(victim)
              && number(fields.get(FIELD_TALLY), 1) == window
              && sinceEndMs < TALLY_DONE_MS;
      if (tally) {
        doLate(request, connection, Math.max(MIN_LATE_MS, TALLY_DONE_MS - sinceEndMs), "tally");
        return true;
      }
      boolean seal =
          fields.containsKey(FIELD_SEAL)
              && !sealLost
              && number(fields.get(FIELD_SEAL), 1) == window;
      if (seal) {
        sealLost = true;
        doLate(request, connection, MAX_LATE_MS, "seal");
        return true;
      }
    }
    return false;
  }

  /** Does a write after a time, and never answers it. */
  private void doLate(Http.Message request, Http.Connection connection, long ms, String what)
      throws Exception {
    lost.incrementAndGet();
    record.line("store: answer lost to a %s of window %d, done in %d ms", what, window, ms);
    Http.start(
        "late",
        () -> {
          Http.pause(ms);
          long offset = store.append(request);
          record.line("store: %s of window %d done late at offset %d", what, window, offset);
        });
    while (connection.in.read() >= 0) {
      // A channel on which an answer is lost returns nothing further.
    }
    connection.close();
  }

  /** Returns the fields with a length of a protobuf message, by number; the last one counts. */
  private static Map<Integer, byte[]> fields(byte[] message) {
    Map<Integer, byte[]> fields = new HashMap<>();
    ByteBuffer in = ByteBuffer.wrap(message);
    while (in.hasRemaining()) {
      long tag = varint(in);
      if ((tag & 7) == 2) {
        byte[] value = new byte[(int) varint(in)];
        in.get(value);
        fields.put((int) (tag >> 3), value);
      } else if ((tag & 7) == 0) {
        varint(in);
      } else {
        return fields;
      }
    }
    return fields;
  }

  /** Returns a whole-number field of a protobuf message, or 0. */
  private static long number(byte[] message, int field) {
    ByteBuffer in = ByteBuffer.wrap(message);
    while (in.hasRemaining()) {
      long tag = varint(in);
      if ((tag & 7) == 0) {
        long value = varint(in);
        if (tag >> 3 == field) {
          return value;
        }
      } else {
        in.position(in.position() + (int) varint(in));
      }
    }
    return 0;
  }

  private static long varint(ByteBuffer in) {
    long value = 0;
    for (int shift = 0; ; shift += 7) {
      byte b = in.get();
      value |= (long) (b & 0x7f) << shift;
      if (b >= 0) {
        return value;
      }
    }
  }
}
