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
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.marigoldmill.http.HttpServer;
import org.xnio.IoUtils;

/** Small stand-in of an engine that streams events, takes orders and scores texts. */
final class EngineStandin implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int WORKERS = 32;
  private static final String SCORE = "score-of-";

  /** An order as it arrived. */
  record Order(long version, long fence, String holder) {}

  private final String id;
  private final String model;
  private final int events;
  private final long eventMs;
  private final AtomicLong version = new AtomicLong(1);
  private final AtomicInteger accepted = new AtomicInteger();
  private final Queue<Order> orders = new ConcurrentLinkedQueue<>();
  private final Queue<String> runs = new ConcurrentLinkedQueue<>();
  private final Queue<String> cut = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final HttpServer server;

  EngineStandin(String id, String model, int events, long eventMs) {
    this.id = id;
    this.model = model;
    this.events = events;
    this.eventMs = eventMs;
    this.server =
        HttpServer.forAddress("127.0.0.1:0")
            .workerThreads(WORKERS)
            .rootHandler(new BlockingHandler(this::handle))
            .start();
  }

  /** Returns the text that a whole run generates. */
  static String text(int events) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= events; i++) {
      text.append(i > 1 ? "\n" : "").append("piece ").append(i);
    }
    return text.toString();
  }

  static String score(String request) {
    return SCORE + request;
  }

  /** Returns the entry under which the engine registers. */
  ObjectNode entry(String service) {
    ObjectNode entry = MAPPER.createObjectNode();
    entry.put("service", service).put("address", server.address()).put("zone", "a");
    entry.put("slots", 4).put("state", "ready").put("seq", 17).put("born", 1);
    entry.putArray("models").addObject().put("name", model).put("version", version.get());
    return entry;
  }

  List<Order> orders() {
    return List.copyOf(orders);
  }

  /** Returns the ids of the requests that have begun to run. */
  List<String> runs() {
    return List.copyOf(runs);
  }

  /** Returns the ids of the requests whose answers were cut by the receiver. */
  List<String> cut() {
    return List.copyOf(cut);
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
      report(exchange);
    } else if (!id.equals(expected)) {
      exchange.setStatusCode(421);
    } else if (path.equals("/-/order")) {
      order(exchange, MAPPER.readTree(body));
    } else {
      runs.add(request);
      head(exchange, "X-Attempt-Id", request);
      head(exchange, "X-Server-Seal", score(request));
      run(exchange, path, request);
    }
  }

  private void run(HttpServerExchange exchange, String path, String request) throws IOException {
    if (path.endsWith("/poison")) {
      crash(exchange);
      return;
    }
    try {
      answer(exchange, path);
    } catch (IOException e) {
      cut.add(request);
      throw e;
    }
  }

  /**
   * The whole engine ends with its connections, without an answer, as a crashed process does.
   *
   * <p>Stopping the server waits for its handlers, so it must not happen inside one.
   */
  private void crash(HttpServerExchange exchange) throws IOException {
    new Thread(this::close).start();
    IoUtils.safeClose(exchange.getConnection());
    throw new IOException("crashed");
  }

  private void answer(HttpServerExchange exchange, String path) throws IOException {
    if (!path.startsWith("/gen/")) {
      exchange.getOutputStream().write("answer".getBytes(UTF_8));
      return;
    }
    head(exchange, "X-Weight-Versions", Long.toString(version.get()));
    head(exchange, "Content-Type", "text/event-stream");
    String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
    OutputStream out = exchange.getOutputStream();
    boolean breaks = path.endsWith("/broken") && last == null;
    int most = path.endsWith("/endless") ? Integer.MAX_VALUE : events;
    for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= most; i++) {
      if (breaks && i > 2) {
        out.write("id: 3\ndata: pie".getBytes(UTF_8));
        out.flush();
        exchange.getConnection().close();
        return;
      }
      out.write(("id: " + i + "\ndata: piece " + i + "\n\n").getBytes(UTF_8));
      out.flush();
      pause();
    }
  }

  private void order(HttpServerExchange exchange, JsonNode order) {
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

  private void report(HttpServerExchange exchange) throws IOException {
    ObjectNode report = MAPPER.createObjectNode().put("busy", false).put("seq", accepted.get());
    report.putArray("models").addObject().put("name", model).put("version", version.get());
    exchange.getOutputStream().write(report.toString().getBytes(UTF_8));
  }

  private void pause() {
    try {
      Thread.sleep(eventMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void head(HttpServerExchange exchange, String name, String value) {
    exchange.getResponseHeaders().put(new HttpString(name), value);
  }
}
