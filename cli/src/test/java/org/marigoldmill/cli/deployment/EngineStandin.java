package org.marigoldmill.cli.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.marigoldmill.http.HttpServer;
import org.xnio.IoUtils;

/** Stand-in for an engine that streams events, accepts weight orders and scores texts. */
public final class EngineStandin implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int WORKERS = 32;
  private static final long SLOW_ANSWER_MS = 300;
  private static final long SILENT_ANSWER_MS = 20_000;
  private static final long STALLED_BYTE_INTERVAL_MS = 300;
  private static final String SCORE_PREFIX = "score-of-";

  /** Marks paths whose answers name the request; the number after it is the time of the run. */
  private static final String ECHO_SEGMENT = "/echo/";

  /** Marks paths whose requests run and are answered with the status after it. */
  private static final String STATUS_SEGMENT = "/status/";

  /**
   * Marks paths whose requests run for the time after it, or are answered 504 when theirs is up.
   */
  private static final String TIMED_SEGMENT = "/timed/";

  /** Time by which such an answer precedes the end of the request's time, to arrive before it. */
  private static final long TIMED_MARGIN_MS = 100;

  /** A weight order as received. */
  record Order(long version, long fence, String holder) {}

  private final String id;
  private final String model;
  private final int events;
  private final long eventIntervalMs;
  private final AtomicLong version = new AtomicLong(1);
  private final AtomicInteger accepted = new AtomicInteger();
  private final Queue<Order> orders = new ConcurrentLinkedQueue<>();
  private final Queue<String> startedRequests = new ConcurrentLinkedQueue<>();
  private final Map<String, String> organisations = new ConcurrentHashMap<>();
  private final Queue<String> resumedRequests = new ConcurrentLinkedQueue<>();
  private final Queue<String> abortedRequests = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile String requestLimit = "";
  private volatile String softwareVersion = "v1";
  private volatile boolean bearsPoison;
  private volatile boolean leaving;
  private final HttpServer server;

  public EngineStandin(String id, String model, int events, long eventMs) {
    this.id = id;
    this.model = model;
    this.events = events;
    this.eventIntervalMs = eventMs;
    this.server =
        HttpServer.forAddress("127.0.0.1:0")
            .workerThreads(WORKERS)
            .rootHandler(new BlockingHandler(this::handle))
            .start();
  }

  /** Returns the text that a run with this number of events yields if it is not cut short. */
  static String completeText(int events) {
    return completeText(events, "");
  }

  /** Returns the text of a complete run on a path whose events name the request. */
  public static String echoText(int events, String request) {
    return completeText(events, " of " + request);
  }

  private static String completeText(int events, String suffix) {
    return IntStream.rangeClosed(1, events)
        .mapToObj(i -> "piece " + i + suffix)
        .collect(Collectors.joining("\n"));
  }

  /** Returns the answer to a request on a path that asks for its id. */
  public static String echo(String request) {
    return "answer to " + request;
  }

  public static String score(String request) {
    return SCORE_PREFIX + request;
  }

  public String address() {
    return server.address();
  }

  /** Returns the entry by which the engine registers in the store. */
  public ObjectNode entry(String service) {
    ObjectNode entry = MAPPER.createObjectNode();
    entry.put("service", service).put("address", server.address()).put("zone", "a");
    entry.put("version", softwareVersion);
    entry.put("slots", 4).put("state", "ready").put("seq", 17).put("born", 1);
    entry.putArray("models").addObject().put("name", model).put("version", version.get());
    return entry;
  }

  /** Returns for whom a request was run, or an empty string if it was not run. */
  String organisation(String request) {
    return organisations.getOrDefault(request, "");
  }

  /** Makes the engine answer requests that crash others. */
  void bearsPoison() {
    bearsPoison = true;
  }

  /** Makes each answer say from now on that the engine leaves. */
  void leave() {
    leaving = true;
  }

  /** Sets the software version of entries from now on. */
  void softwareVersion(String version) {
    softwareVersion = version;
  }

  /** Sets the request limit that each answer names from now on; empty for none. */
  void requestLimit(String perSecond) {
    requestLimit = perSecond;
  }

  List<Order> orders() {
    return List.copyOf(orders);
  }

  /** Returns the ids of the requests that have started to run. */
  public List<String> startedRequests() {
    return List.copyOf(startedRequests);
  }

  /** Returns the ids of the requests that were to go on after an event. */
  List<String> resumedRequests() {
    return List.copyOf(resumedRequests);
  }

  /** Returns the ids of the requests whose receiver closed the connection early. */
  List<String> abortedRequests() {
    return List.copyOf(abortedRequests);
  }

  @Override
  public void close() {
    if (!closed.getAndSet(true)) {
      server.close();
    }
  }

  private void handle(HttpServerExchange exchange) throws IOException {
    byte[] body = exchange.getInputStream().readAllBytes();
    String path = exchange.getRequestPath();
    String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
    String request = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
    if (path.equals("/-/report")) {
      writeReport(exchange);
    } else if (!id.equals(expected)) {
      exchange.setStatusCode(421);
    } else if (path.equals("/-/order")) {
      acceptOrder(exchange, MAPPER.readTree(body));
    } else {
      startedRequests.add(request);
      String organisation = exchange.getRequestHeaders().getLast("X-Tenant");
      organisations.put(request, organisation == null ? "none" : organisation);
      if (exchange.getRequestHeaders().contains("Last-Event-Id")) {
        resumedRequests.add(request);
      }
      setHeader(exchange, "X-Attempt-Id", request);
      setHeader(exchange, "X-Server-Seal", score(request));
      if (leaving) {
        setHeader(exchange, "Server-Leaving", "1");
      }
      if (!requestLimit.isEmpty()) {
        setHeader(exchange, "Server-Limit", requestLimit);
      }
      run(exchange, path, request);
    }
  }

  private void run(HttpServerExchange exchange, String path, String request) throws IOException {
    if (path.endsWith("/poison") && !bearsPoison) {
      crash(exchange);
      return;
    }
    try {
      answer(exchange, path, request);
    } catch (IOException e) {
      abortedRequests.add(request);
      throw e;
    }
  }

  /**
   * Closes the server and its connections without an answer, as the crash of a process does.
   *
   * <p>Aborting the server waits for its handlers, so a handler must not do it itself.
   */
  private void crash(HttpServerExchange exchange) throws IOException {
    if (!closed.getAndSet(true)) {
      new Thread(server::abort).start();
    }
    IoUtils.safeClose(exchange.getConnection());
    throw new IOException("crashed");
  }

  private void answer(HttpServerExchange exchange, String path, String request) throws IOException {
    int status = path.indexOf(STATUS_SEGMENT);
    if (status >= 0) {
      exchange.setStatusCode(Integer.parseInt(path.substring(status + STATUS_SEGMENT.length())));
      exchange.getOutputStream().write("ran".getBytes(UTF_8));
      return;
    }
    int timed = path.indexOf(TIMED_SEGMENT);
    if (timed >= 0) {
      long workMs = Long.parseLong(path.substring(timed + TIMED_SEGMENT.length()));
      String allowed = exchange.getRequestHeaders().getFirst("X-Deadline-Ms");
      long leftMs = Long.parseLong(allowed) - TIMED_MARGIN_MS;
      sleep(Math.min(workMs, leftMs));
      exchange.setStatusCode(workMs > leftMs ? 504 : 200);
      exchange.getOutputStream().write("ran".getBytes(UTF_8));
      return;
    }
    int echo = path.indexOf(ECHO_SEGMENT);
    if (!path.startsWith("/gen/") && echo >= 0) {
      sleep(Long.parseLong(path.substring(echo + ECHO_SEGMENT.length())));
      exchange.getOutputStream().write(echo(request).getBytes(UTF_8));
      return;
    }
    if (!path.startsWith("/gen/")) {
      sleep(path.endsWith("/slow") ? SLOW_ANSWER_MS : 0);
      sleep(path.endsWith("/silent") ? SILENT_ANSWER_MS : 0);
      exchange.getOutputStream().write("answer".getBytes(UTF_8));
      return;
    }
    setHeader(exchange, "X-Weight-Versions", Long.toString(version.get()));
    setHeader(exchange, "Content-Type", "text/event-stream");
    String lastEventId = exchange.getRequestHeaders().getFirst("Last-Event-Id");
    OutputStream out = exchange.getOutputStream();
    boolean breaksOff = path.endsWith("/broken") && lastEventId == null;
    int lastEvent = path.endsWith("/endless") ? Integer.MAX_VALUE : events;
    if (path.endsWith("/stalled") && lastEventId == null) {
      stall(out);
      return;
    }
    for (int i = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1; i <= lastEvent; i++) {
      if (breaksOff && i > 2) {
        out.write("id: 3\ndata: pie".getBytes(UTF_8));
        out.flush();
        exchange.getConnection().close();
        return;
      }
      String suffix = echo >= 0 ? " of " + request : "";
      out.write(("id: " + i + "\ndata: piece " + i + suffix + "\n\n").getBytes(UTF_8));
      out.flush();
      sleep(eventIntervalMs);
    }
  }

  /** Sends one event, and then bytes of the next one without ever completing it. */
  private static void stall(OutputStream out) throws IOException {
    out.write("id: 1\ndata: piece 1\n\nid: 2\ndata: ".getBytes(UTF_8));
    for (long ms = 0; ms < SILENT_ANSWER_MS; ms += STALLED_BYTE_INTERVAL_MS) {
      out.write('.');
      out.flush();
      sleep(STALLED_BYTE_INTERVAL_MS);
    }
  }

  private void acceptOrder(HttpServerExchange exchange, JsonNode order) {
    if (order.get("expect").asInt() != accepted.get()) {
      exchange.setStatusCode(409);
      return;
    }
    orders.add(
        new Order(
            order.get("version").asLong(),
            order.get("fence").asLong(),
            order.get("holder").asText()));
    accepted.incrementAndGet();
    version.set(order.get("version").asLong());
    exchange.setStatusCode(202);
  }

  private void writeReport(HttpServerExchange exchange) throws IOException {
    ObjectNode report = MAPPER.createObjectNode().put("busy", false).put("seq", accepted.get());
    report.putArray("models").addObject().put("name", model).put("version", version.get());
    exchange.getOutputStream().write(report.toString().getBytes(UTF_8));
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void setHeader(HttpServerExchange exchange, String name, String value) {
    exchange.getResponseHeaders().put(new HttpString(name), value);
  }
}
