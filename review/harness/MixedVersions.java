import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Streams are resumed at another instance after the store has forgotten its history. */
final class MixedVersions extends Case {
  private static final int STREAMS = 16;
  private static final int EVENTS = 24;
  private static final long EVENT_MS = 250;

  /** Streams with events of two versions that the rule allows. */
  private static final int ALLOWED = 2;

  /** A stream of one requester, over all its attempts. */
  private static final class Stream {
    private final Set<String> versions = new TreeSet<>();
    private volatile Http.Connection connection;
    private volatile int lastEvent;
    private volatile boolean complete;
  }

  private final List<Stream> streams = new CopyOnWriteArrayList<>();

  private MixedVersions(String[] arguments) throws Exception {
    super(arguments);
  }

  public static void main(String[] arguments) throws Exception {
    new MixedVersions(arguments).end();
  }

  @Override
  int play() throws Exception {
    String chat =
        route(
            "chat",
            "idempotent",
            "llm",
            ",\"timeout_ms\":20000,\"slo_ms\":400,\"max_attempts\":3,\"streaming\":true,"
                + "\"resumable\":true,\"affinity\":true");
    store.put("op", "config", config(1, chat, "\"key-one\""));
    String[] software = {"v1", "v1", "v1", "v2", "v2"};
    for (int i = 0; i < software.length; i++) {
      Engine engine = new Engine("i-" + (i + 1), "llm", i % 2 == 0 ? "z1" : "z2", "m", 8, record);
      engine.software = software[i];
      engine.work = (request, connection) -> generate(engine, request, connection);
      store.put("servers", engine.id, engine.entry("ready"));
    }
    Deployment.Instance one = deployment.start("edge-1", "z1");
    Deployment.Instance two = deployment.start("edge-2", "z2");
    if (!deployment.awaitReady(30_000)) {
      return NOT_RUN;
    }
    // Until a default version has been stored.
    Http.pause(8_000);
    List<Thread> requesters = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      requesters.add(Http.start("requester", () -> request(one, two)));
      Http.pause(20);
    }
    Http.pause(1_500);
    if (trouble) {
      store.forgetHistory();
      record.line("store: history forgotten");
      Http.pause(1_000);
      record.line("SIGKILL to %s", one.name);
      one.process.destroyForcibly();
    } else {
      Http.pause(1_000);
      record.line("the requesters' channels break");
      for (Stream stream : streams) {
        stream.connection.reset();
      }
    }
    for (Thread requester : requesters) {
      requester.join(30_000);
    }
    long complete = streams.stream().filter(s -> s.complete).count();
    long mixed = streams.stream().filter(s -> s.versions.size() > 1).count();
    record.line("streams=%d complete=%d mixed=%d", streams.size(), complete, mixed);
    if (complete < STREAMS / 2) {
      return mixed > ALLOWED ? broken("ORDER") : NOT_RUN;
    }
    return mixed > ALLOWED
        ? broken("ORDER: streams hold events from engines of two software versions")
        : RULE_HELD;
  }

  /** Sends a request for a stream to one instance, and resumes it at another one. */
  private void request(Deployment.Instance first, Deployment.Instance second) {
    Stream stream = new Stream();
    streams.add(stream);
    String id = newId("stream");
    receive(stream, first, id, "");
    for (int attempt = 0; attempt < 5 && !stream.complete && stream.lastEvent > 0; attempt++) {
      Http.pause(200);
      String resume = "Last-Event-Id: " + stream.lastEvent + "\r\nResumes: " + id + "\r\n";
      receive(stream, second, newId("resumed"), resume);
    }
    record.line(
        "stream id=%s events=%d complete=%s versions=%s",
        id, stream.lastEvent, stream.complete, stream.versions);
  }

  private void receive(
      Stream stream, Deployment.Instance instance, String id, String resumeHeaders) {
    record.line("send instance=%s id=%s %s", instance.name, id, resumeHeaders);
    try (Http.Connection connection = Http.Connection.open(instance.callers, 5_000)) {
      stream.connection = connection;
      connection.write(
          "POST /chat/x HTTP/1.1\r\n"
              + headers(id, KEY, 15_000)
              + resumeHeaders
              + "X-Model: m\r\nX-Token-Counts: 10,24\r\nContent-Length: 1\r\n\r\nb");
      String status = connection.line();
      record.line("answer id=%s %s", id, status);
      if (status == null || !status.contains(" 200 ")) {
        return;
      }
      for (String line = connection.line(); !line.isEmpty(); line = connection.line()) {
        // The headers are not needed.
      }
      readEvents(stream, connection);
    } catch (IOException e) {
      record.line("broken id=%s last_event=%d %s", id, stream.lastEvent, e);
    }
  }

  private static void readEvents(Stream stream, Http.Connection connection) throws IOException {
    StringBuilder text = new StringBuilder();
    while (true) {
      String sizeLine = connection.line();
      if (sizeLine == null) {
        throw new IOException("ended without the last chunk");
      }
      int size = Integer.parseInt(sizeLine.trim(), 16);
      if (size == 0) {
        stream.complete = stream.lastEvent == EVENTS;
        return;
      }
      text.append(new String(connection.bytes(size)));
      connection.line();
      for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
        String event = text.substring(0, end);
        text.delete(0, end + 2);
        stream.lastEvent = Integer.parseInt(event.substring(4, event.indexOf('\n')));
        stream.versions.add(event.substring(event.lastIndexOf(' ') + 1));
      }
    }
  }

  /** Generates the events of a stream, each with the version of the software that made it. */
  private static void generate(Engine engine, Http.Message request, Http.Connection connection)
      throws IOException {
    String last = request.header("Last-Event-Id");
    AtomicInteger next = new AtomicInteger(last.isEmpty() ? 1 : Integer.parseInt(last) + 1);
    connection.write(
        "HTTP/1.1 200 S\r\n"
            + engine.answerHeaders(request)
            + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
    while (next.get() <= EVENTS) {
      String event =
          "id: "
              + next.get()
              + "\ndata: piece "
              + next.getAndIncrement()
              + " by "
              + engine.software
              + "\n\n";
      connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      Http.pause(EVENT_MS);
    }
    connection.write("0\r\n\r\n");
  }
}
