import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** What the cases of the review share: a small deployment before its stand-ins. */
abstract class Case {
  static final String HOST = "h.example";
  static final String KEY = "key-one";
  static final int RULE_HELD = 0;
  static final int RULE_BROKEN = 1;
  static final int NOT_RUN = 2;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root;
  final Record record;
  final Store store;
  final DutyApi dutyApi;
  final Deployment deployment;
  private final AtomicInteger nextId = new AtomicInteger();

  /**
   * Creates a case.
   *
   * @param arguments root of the repository, folder of the case, temporary folder
   */
  Case(String[] arguments) throws Exception {
    root = Path.of(arguments[0]).toAbsolutePath();
    Path folder = Path.of(arguments[1]).toAbsolutePath();
    Path temporary = Files.createDirectories(Path.of(arguments[2]).toAbsolutePath());
    record = new Record(folder.resolve("record.txt"));
    record.line("case %s trouble=%s", folder.getFileName(), trouble);
    store = new Store();
    dutyApi = new DutyApi(record);
    deployment = new Deployment(root, temporary, record, store.address(), dutyApi.address());
  }

  /** Plays the case; returns its exit code. */
  abstract int play() throws Exception;

  final void end() {
    int code;
    try {
      code = play();
    } catch (Exception | Error e) {
      record.line("case could not run: %s", e);
      e.printStackTrace();
      code = NOT_RUN;
    }
    record.line("exit code %d", code);
    deployment.close();
    Runtime.getRuntime().halt(code);
  }

  int broken(String what) {
    record.line("BROKEN %s", what);
    return RULE_BROKEN;
  }

  String newId(String prefix) {
    return String.format("%s%08x", prefix, nextId.incrementAndGet());
  }

  static String route(String name, String kind, String service, String more) {
    return "{\"name\":\""
        + name
        + "\",\"host\":\""
        + HOST
        + "\",\"path_prefix\":\"/"
        + name
        + "/\",\"kind\":\""
        + kind
        + "\",\"service\":\""
        + service
        + "\",\"priority\":1"
        + more
        + "}";
  }

  static String config(long version, String routes, String keys) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + routes
        + "],\"services\":["
        + "{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\","
        + "\"tls\":false},{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":140,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,\"kv_capacity\":94958,"
        + "\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"tenant-one\",\"api_keys\":["
        + keys
        + "],\"priority\":1},"
        + "{\"name\":\"tenant-two\",\"api_keys\":[\"key-two\"],\"priority\":1}]}";
  }

  String headers(String id, String key, long deadlineMs) {
    return "Host: "
        + HOST
        + "\r\nApi-Key: "
        + key
        + "\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Deadline-Ms: "
        + deadlineMs
        + "\r\n";
  }

  /** Sends a request on a new connection and records the answer. */
  Http.Message call(
      Deployment.Instance instance,
      String method,
      String path,
      String id,
      String key,
      byte[] body,
      int timeoutMs) {
    record.line(
        "send instance=%s id=%s %s %s key=%s body_bytes=%d",
        instance.name, id, method, path, key, body.length);
    Http.Message answer =
        Http.call(instance.callers, method, path, headers(id, key, timeoutMs), body, timeoutMs);
    record.line(
        "answer instance=%s id=%s %s",
        instance.name, id, answer == null ? "none" : answer.start() + " " + shortened(answer));
    return answer;
  }

  private static String shortened(Http.Message answer) {
    String text = answer.text();
    return text.length() <= 200 ? text : text.substring(0, 200) + "...";
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
