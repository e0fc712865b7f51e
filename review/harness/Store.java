import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the platform's store: partitions, conditional appends, keyed topics, groups. */
final class Store {
  static final int PARTITIONS = 12;

  /** Time after which a record is gone from the history, as the sheets of the sites say. */
  static final long RETENTION_MS = 20_000;

  private static final byte[] NOTHING = new byte[0];
  private static final String JSON = "Content-Type: application/json\r\n";

  /** Decides on a call before it is carried out; returns whether it has been answered. */
  interface Interceptor {
    boolean intercept(Http.Message request, Http.Connection connection) throws Exception;
  }

  /** The records of a partition; the oldest expire. */
  static final class Log {
    final List<byte[]> records = new ArrayList<>();
    private final List<Long> storedAtMs = new ArrayList<>();
    private int dropped;

    private void add(byte[] content) {
      records.add(content);
      storedAtMs.add(System.currentTimeMillis());
    }

    private int firstRetained() {
      long oldestMs = System.currentTimeMillis() - RETENTION_MS;
      int first = dropped;
      while (first < records.size() && storedAtMs.get(first) < oldestMs) {
        first++;
      }
      return first;
    }
  }

  private final Map<String, Log> partitions = new ConcurrentHashMap<>();
  private final Map<String, long[]> members = new TreeMap<>();
  private List<String> memberNames = List.of();
  private long generation;
  private final ServerSocket server;
  volatile Interceptor interceptor = (request, connection) -> false;

  Store() throws IOException {
    server = Http.serve("store", this::handle);
  }

  String address() {
    return Http.addressOf(server);
  }

  /** Appends a record to a keyed topic, as the operator and engines do; null deletes the key. */
  void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    content.write(name.length);
    content.writeBytes(name);
    content.writeBytes(value == null ? NOTHING : value.getBytes(StandardCharsets.UTF_8));
    Log log = partition("keyed." + topic + "/0");
    synchronized (log) {
      log.add(content.toByteArray());
      log.notifyAll();
    }
  }

  Log partition(String name) {
    return partitions.computeIfAbsent(name, n -> new Log());
  }

  Log partition(Http.Message request) {
    String part = request.query("part");
    return partition(request.query("topic") + "/" + (part.isEmpty() ? "0" : part));
  }

  /** Forgets the history of all partitions; keyed ones keep the newest record of each key. */
  void forgetHistory() {
    partitions
        .values()
        .forEach(
            log -> {
              synchronized (log) {
                log.dropped = log.records.size();
              }
            });
  }

  private void handle(Http.Message request, Http.Connection connection) throws Exception {
    if (interceptor.intercept(request, connection)) {
      return;
    }
    carryOut(request, connection);
  }

  void carryOut(Http.Message request, Http.Connection connection) throws Exception {
    switch (request.path()) {
      case "/-/log-append" -> append(request, connection);
      case "/-/log-read" -> read(request, connection);
      case "/-/log-newest" -> newest(request, connection);
      case "/-/log-join" -> join(request, connection);
      case "/-/log-leave" -> leave(request, connection);
      default -> connection.respond(200, JSON, "{}".getBytes(StandardCharsets.UTF_8));
    }
  }

  private void append(Http.Message request, Http.Connection connection) throws IOException {
    long offset = append(request);
    long end = offset < 0 ? -offset - 1 : offset;
    String answer = "{\"offset\":" + end + ",\"end\":" + partition(request).records.size() + "}";
    connection.respond(offset < 0 ? 412 : 200, JSON, answer.getBytes(StandardCharsets.UTF_8));
  }

  /** Carries an append out; returns its offset, or -1 minus the end if its condition fails. */
  long append(Http.Message request) {
    Log log = partition(request);
    synchronized (log) {
      long end = log.records.size();
      if (!request.query("at").isEmpty() && Long.parseLong(request.query("at")) != end) {
        return -1 - end;
      }
      recordsOf(request).forEach(log::add);
      log.notifyAll();
      return end;
    }
  }

  /** Returns the records that an append brings. */
  static List<byte[]> recordsOf(Http.Message append) {
    List<byte[]> records = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(append.body());
    while (in.remaining() >= Integer.BYTES) {
      byte[] content = new byte[in.getInt()];
      in.get(content);
      records.add(content);
    }
    return records;
  }

  private void read(Http.Message request, Http.Connection connection) throws Exception {
    Log log = partition(request);
    int from = Integer.parseInt(request.query("from"));
    String wait = request.query("wait_ms");
    long until = System.currentTimeMillis() + (wait.isEmpty() ? 0 : Long.parseLong(wait));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (log) {
      for (long left = until - System.currentTimeMillis();
          log.records.size() <= from && left > 0;
          left = until - System.currentTimeMillis()) {
        log.wait(left);
      }
      int first = log.firstRetained();
      if (from < first) {
        byte[] answer = ("{\"first\":" + first + "}").getBytes(StandardCharsets.UTF_8);
        connection.respond(410, JSON, answer);
        return;
      }
      out.writeBytes(ByteBuffer.allocate(16).putLong(log.records.size()).putLong(first).array());
      for (byte[] content :
          log.records.subList(Math.min(from, log.records.size()), log.records.size())) {
        if (out.size() > 1_000_000) {
          break;
        }
        out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
        out.writeBytes(content);
      }
    }
    connection.respond(200, "", out.toByteArray());
  }

  private void newest(Http.Message request, Http.Connection connection) throws IOException {
    Log log = partition(request);
    Map<String, String> items = new TreeMap<>();
    long end;
    synchronized (log) {
      end = log.records.size();
      for (int offset = 0; offset < log.records.size(); offset++) {
        byte[] content = log.records.get(offset);
        int length = content[0] & 0xff;
        String key = new String(content, 1, length, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
        items.remove(key);
        if (value.length > 0) {
          items.put(
              key,
              "{\"key\":\""
                  + key
                  + "\",\"value\":\""
                  + Base64.getEncoder().encodeToString(value)
                  + "\",\"offset\":"
                  + offset
                  + "}");
        }
      }
    }
    String answer =
        "{\"items\":["
            + String.join(",", items.values())
            + "],\"truncated\":false,\"end\":"
            + end
            + "}";
    connection.respond(200, JSON, answer.getBytes(StandardCharsets.UTF_8));
  }

  private synchronized void join(Http.Message request, Http.Connection connection)
      throws IOException {
    String member = field(request.text(), "member");
    long ttlMs = Long.parseLong(field(request.text(), "ttl_ms"));
    long now = System.currentTimeMillis();
    members.put(member, new long[] {now + ttlMs});
    members.values().removeIf(m -> m[0] < now);
    regroup();
    List<String> parts = new ArrayList<>();
    for (int p = memberNames.indexOf(member); p < PARTITIONS; p += memberNames.size()) {
      parts.add("[\"keyed.submissions\"," + p + ",0]");
    }
    String answer =
        "{\"generation\":"
            + generation
            + ",\"ttl_ms\":"
            + ttlMs
            + ",\"parts\":["
            + String.join(",", parts)
            + "]}";
    connection.respond(200, JSON, answer.getBytes(StandardCharsets.UTF_8));
  }

  private synchronized void leave(Http.Message request, Http.Connection connection)
      throws IOException {
    members.remove(field(request.text(), "member"));
    regroup();
    connection.respond(200, JSON, "{}".getBytes(StandardCharsets.UTF_8));
  }

  private void regroup() {
    List<String> names = new ArrayList<>(members.keySet());
    if (!names.equals(memberNames)) {
      memberNames = names;
      generation++;
    }
  }

  /** Returns a field of a flat JSON object as text. */
  static String field(String json, String name) {
    Matcher matcher =
        Pattern.compile("\"" + name + "\"\\s*:\\s*(?:\"([^\"]*)\"|([^,}\\s]+))").matcher(json);
    if (!matcher.find()) {
      return "";
    }
    return matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
  }
}
