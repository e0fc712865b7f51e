package org.marigoldmill.http;

import com.google.protobuf.Message;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Optional;
import org.marigoldmill.core.error.MarigoldmillException;
import org.xnio.Option;
import org.xnio.OptionMap;

/**
 * HTTP server whose routes answer with whole bodies.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.on("127.0.0.1:0").get("/status", q -> status()).start();
 * }</pre>
 */
public final class HttpServer implements AutoCloseable {
  private static final int DEFAULT_WORKERS = 16;

  /** Answers one question. */
  @FunctionalInterface
  public interface RouteHandler {
    /** Returns the answer. */
    HttpResponse respond(Request question) throws IOException;
  }

  /** A request as a route sees it. */
  @SuppressWarnings("ArrayRecordComponent")
  public record Request(HttpServerExchange exchange, byte[] body) {

    /** Returns a header. */
    public Optional<String> header(String name) {
      return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /** Returns a query parameter. */
    public Optional<String> query(String name) {
      return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
    }

    /** Returns the body as a message. */
    public <M extends Message> M message(M prototype) {
      return ProtoJson.parse(body, prototype);
    }

    /** Returns a numeric query parameter. */
    public long queryLong(String name, long absent) {
      return query(name).map(Long::parseLong).orElse(absent);
    }
  }

  private final InetSocketAddress address;
  private final RoutingHandler routes = new RoutingHandler();
  private HttpHandler root = routes;
  private OptionMap limits = OptionMap.EMPTY;
  private int workerThreads = DEFAULT_WORKERS;
  private Undertow undertow;

  private HttpServer(InetSocketAddress address) {
    this.address = address;
  }

  /** Prepares a server on an address. */
  public static HttpServer forAddress(String address) {
    return new HttpServer(Addresses.parse(address));
  }

  /** Sets the number of threads that answer. */
  public HttpServer workerThreads(int count) {
    workerThreads = count;
    return this;
  }

  /** Adds a GET route. */
  public HttpServer get(String path, RouteHandler route) {
    routes.get(path, new BlockingHandler(answering(route)));
    return this;
  }

  /** Adds a POST route. */
  public HttpServer post(String path, RouteHandler route) {
    routes.post(path, new BlockingHandler(answering(route)));
    return this;
  }

  /** Adds a handler that streams its answer itself, on a worker thread. */
  public HttpServer postStreaming(String path, HttpHandler handler) {
    routes.post(path, new BlockingHandler(handler));
    return this;
  }

  /** Sets the handler of all requests in place of routes; it runs on an I/O thread. */
  public HttpServer rootHandler(HttpHandler handler) {
    root = handler;
    return this;
  }

  /**
   * Bounds what a caller may send; to be called before the start.
   *
   * @param headerBytes largest head of a request
   * @param headerMs longest time for a head to arrive, in milliseconds
   * @param idleMs longest time for which a connection may be idle, in milliseconds
   */
  public HttpServer limits(int headerBytes, int headerMs, int idleMs) {
    limits =
        OptionMap.builder()
            .set(UndertowOptions.MAX_HEADER_SIZE, headerBytes)
            .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, headerMs)
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, idleMs)
            .getMap();
    return this;
  }

  /** Starts listening. */
  public HttpServer start() {
    Undertow.Builder builder =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setIoThreads(2)
            .setWorkerThreads(workerThreads)
            .setHandler(root);
    OptionMap all = options();
    all.forEach(option -> set(builder, option, all));
    undertow = builder.build();
    undertow.start();
    return this;
  }

  /** Returns the address that the server listens on. */
  public String address() {
    InetSocketAddress bound = (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
    return bound.getAddress().getHostAddress() + ":" + bound.getPort();
  }

  @Override
  public void close() {
    if (undertow != null) {
      undertow.stop();
    }
  }

  private OptionMap options() {
    return OptionMap.builder()
        .addAll(limits)
        .set(UndertowOptions.ENABLE_HTTP2, false)
        .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
        .getMap();
  }

  private static <T> void set(Undertow.Builder builder, Option<T> option, OptionMap all) {
    builder.setServerOption(option, all.get(option));
  }

  private static HttpHandler answering(RouteHandler route) {
    return exchange -> send(exchange, answer(route, exchange));
  }

  private static HttpResponse answer(RouteHandler route, HttpServerExchange exchange)
      throws IOException {
    try {
      byte[] body = exchange.getInputStream().readAllBytes();
      return route.respond(new Request(exchange, body));
    } catch (MarigoldmillException e) {
      return HttpResponse.text(e.kind().status(), e.getMessage());
    }
  }

  /** Sends a whole answer. */
  public static void send(HttpServerExchange exchange, HttpResponse answer) {
    if (exchange.isResponseStarted() || !exchange.getConnection().isOpen()) {
      return;
    }
    exchange.setStatusCode(answer.status());
    answer
        .headers()
        .forEach(h -> exchange.getResponseHeaders().add(new HttpString(h.name()), h.value()));
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, answer.body().length);
    exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
  }
}
