import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for an engine: plain answers, event streams, reports and weight orders. */
final class Engine {
  /** Runs a request that this engine has accepted. */
  interface Work {
    void run(Http.Message request, Http.Connection connection) throws Exception;
  }

  final String id;
  final String service;
  final String zone;
  final String model;
  final int slots;
  final AtomicLong version = new AtomicLong(1);
  final AtomicInteger orders = new AtomicInteger();
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Record record;
  private final ServerSocket server;
  volatile String software = "v1";
  volatile Work work = this::answer;
  volatile Work order = this::acceptOrder;

  Engine(String id, String service, String zone, String model, int slots, Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.model = model;
    this.slots = slots;
    this.record = record;
    this.server = Http.serve(id, this::handle);
  }

  String address() {
    return Http.addressOf(server);
  }

  /** Returns the entry by which the engine registers in the store. */
  String entry(String state) {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + address()
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\""
        + software
        + "\",\"slots\":"
        + slots
        + ",\"state\":\""
        + state
        + "\",\"warmup_left_ms\":0,\"stage\":\"both\",\"models\":"
        + models()
        + ",\"seq\":4,"
        + "\"born\":1700000000000}";
  }

  private String models() {
    return model.isEmpty()
        ? "[]"
        : "[{\"name\":\"" + model + "\",\"version\":" + version + ",\"adapters\":[]}]";
  }

  int runsOf(String request) {
    AtomicInteger count = runs.get(request);
    return count == null ? 0 : count.get();
  }

  private void handle(Http.Message request, Http.Connection connection) throws Exception {
    String expected = request.header("X-Expect-Instance");
    if (request.path().equals("/-/report")) {
      String report =
          "{\"stage\":\"both\",\"models\":"
              + models()
              + ",\"busy\":false,\"seq\":"
              + orders
              + ",\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0}";
      connection.respond(200, "", report.getBytes(StandardCharsets.UTF_8));
    } else if (request.path().equals("/healthz")) {
      connection.respond(200, "X-Instance-Id: " + id + "\r\n", new byte[0]);
    } else if (!expected.isEmpty() && !expected.equals(id)) {
      connection.respond(421, "X-Instance-Id: " + id + "\r\n", new byte[0]);
    } else if (request.path().equals("/-/order")) {
      order.run(request, connection);
    } else {
      String name = request.header("X-Attempt-Id");
      runs.computeIfAbsent(name, n -> new AtomicInteger()).incrementAndGet();
      record.line(
          "run engine=%s id=%s path=%s tenant=%s last_event=%s body_bytes=%d",
          id,
          name,
          request.path(),
          request.header("X-Tenant"),
          request.header("Last-Event-Id"),
          request.body().length);
      work.run(request, connection);
    }
  }

  String proof(Http.Message request) {
    return "seal-" + id + "-" + request.header("X-Attempt-Id");
  }

  String answerHeaders(Http.Message request) {
    return "X-Attempt-Id: "
        + request.header("X-Attempt-Id")
        + "\r\nX-Server-Seal: "
        + proof(request)
        + "\r\n";
  }

  /** Answers a plain request. */
  void answer(Http.Message request, Http.Connection connection) throws IOException {
    String text = "answer of " + id + " to " + request.header("X-Attempt-Id");
    connection.respond(200, answerHeaders(request), text.getBytes(StandardCharsets.UTF_8));
  }

  private void acceptOrder(Http.Message request, Http.Connection connection) throws IOException {
    String body = request.text();
    String expect = Store.field(body, "expect");
    int status = !expect.isEmpty() && Integer.parseInt(expect) != orders.get() ? 409 : 202;
    record.line("order engine=%s body=%s status=%d", id, body, status);
    if (status == 202) {
      orders.incrementAndGet();
      version.set(Long.parseLong(Store.field(body, "version")));
    }
    connection.respond(status, "", new byte[0]);
  }
}
