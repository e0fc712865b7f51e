package org.marigoldmill.http;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.Message;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Optional;
import org.marigoldmill.core.error.MarigoldmillException;
import org.xnio.Option;
import org.xnio.OptionMap;

/**
 * HTTP server whose route handlers return complete responses.
 *
 * <p>Closing it refuses new requests, then waits a while for the responses to the others, and only
 * then closes the connections.
 *
 * <pre>{@code
 * HttpServer server =
 *     HttpServer.forAddress("127.0.0.1:0").get("/status", request -> status()).start();
 * }</pre>
 */
public final class HttpServer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int DEFAULT_WORKER_THREADS = 16;
  private static final long CLOSE_WAIT_MS = 300;

  /** Time that handlers get to end after their connections have been closed. */
  private static final int HANDLER_STOP_MS = 100;

  /** Responds to the requests of one route, on a worker thread. */
  @FunctionalInterface
  public interface RouteHandler {
    /** Returns the response to a request; a {@link MarigoldmillException} becomes its status. */
    HttpResponse respond(Request request) throws IOException;
  }

  /**
   * A request whose body has been read.
   *
   * @param exchange Undertow's exchange of the request
   * @param body body, empty for none
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Request(HttpServerExchange exchange, byte[] body) {

    /** Returns the first value of a header. */
    public Optional<String> header(String name) {
      return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /** Returns the first value of a query parameter. */
    public Optional<String> query(String name) {
      return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
    }

    /**
     * Parses the body as JSON.
     *
     * @param prototype default instance of the expected type
     * @throws MarigoldmillException of kind BAD_REQUEST when the body is not such a message
     */
    public <M extends Message> M message(M prototype) {
      return ProtoJson.parse(body, prototype);
    }

    /**
     * Returns a query parameter as a number.
     *
     * @param defaultValue value when the parameter is absent
     * @throws NumberFormatException when the parameter is not a number
     */
    public long queryLong(String name, long defaultValue) {
      return query(name).map(Long::parseLong).orElse(defaultValue);
    }
  }

  private final InetSocketAddress address;
  private final RoutingHandler routes = new RoutingHandler();
  private final RequestGate gate = new RequestGate();
  private HttpHandler rootHandler = routes;
  private HttpHandler refusalHandler = HttpServer::refuse;
  private OptionMap limits = OptionMap.EMPTY;
  private int workerThreads = DEFAULT_WORKER_THREADS;
  private Undertow undertow;

  private HttpServer(InetSocketAddress address) {
    this.address = address;
  }

  /** Creates a server that will listen on an address of the form {@code ip:port}. */
  public static HttpServer forAddress(String address) {
    return new HttpServer(Addresses.parse(address));
  }

  /** Sets the number of threads that run handlers. */
  public HttpServer workerThreads(int count) {
    workerThreads = count;
    return this;
  }

  /** Adds a GET route. */
  public HttpServer get(String path, RouteHandler handler) {
    routes.get(path, new BlockingHandler(toUndertow(handler)));
    return this;
  }

  /** Adds a POST route. */
  public HttpServer post(String path, RouteHandler handler) {
    routes.post(path, new BlockingHandler(toUndertow(handler)));
    return this;
  }

  /** Adds a POST route whose handler streams its response itself, on a worker thread. */
  public HttpServer postStreaming(String path, HttpHandler handler) {
    routes.post(path, new BlockingHandler(handler));
    return this;
  }

  /** Sets one handler for all requests in place of routes; it runs on an I/O thread. */
  public HttpServer rootHandler(HttpHandler handler) {
    rootHandler = handler;
    return this;
  }

  /** Sets the handler that refuses requests once the server is closing. */
  public HttpServer refusalHandler(HttpHandler handler) {
    refusalHandler = handler;
    return this;
  }

  /**
   * Limits request heads and idle connections; must be called before {@link #start}.
   *
   * @param maxHeaderBytes largest request head, in bytes
   * @param headerTimeoutMs longest time to receive a request head, in milliseconds
   * @param idleTimeoutMs longest time between two requests of a connection, in milliseconds
   */
  public HttpServer limits(int maxHeaderBytes, int headerTimeoutMs, int idleTimeoutMs) {
    limits =
        OptionMap.builder()
            .set(UndertowOptions.MAX_HEADER_SIZE, maxHeaderBytes)
            .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, headerTimeoutMs)
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, idleTimeoutMs)
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
            .setHandler(gate.guard(rootHandler, refusalHandler));
    OptionMap options = serverOptions();
    options.forEach(option -> setOption(builder, option, options));
    undertow = builder.build();
    undertow.start();
    return this;
  }

  /** Returns the address that the started server listens on, as {@code ip:port}. */
  public String address() {
    InetSocketAddress bound = (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
    return bound.getAddress().getHostAddress() + ":" + bound.getPort();
  }

  /** Returns the number of requests whose responses are not complete. */
  public int openRequests() {
    return gate.inside();
  }

  /** Refuses all further requests if none is open; returns whether further ones are refused. */
  public boolean refuseIfIdle() {
    return gate.shutIfEmpty();
  }

  /** Closes the server; requests that are open for too long lose their connections. */
  @Override
  public void close() {
    close(CLOSE_WAIT_MS, () -> {});
  }

  /**
   * Closes the server.
   *
   * @param waitMs longest wait for the responses to open requests, in milliseconds
   * @param beforeCut called after that wait if requests are still open
   */
  public void close(long waitMs, Runnable beforeCut) {
    gate.shut();
    if (!gate.awaitEmpty(waitMs)) {
      logger.atWarning().log(
          "server closes with open requests address=%s open=%d", address, gate.inside());
      beforeCut.run();
    }
    abort();
  }

  /** Closes all connections at once, without responses to open requests. */
  public void abort() {
    gate.shut();
    if (undertow != null) {
      undertow.stop();
    }
  }

  private static void refuse(HttpServerExchange exchange) {
    exchange.setPersistent(false);
    exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
    exchange.endExchange();
  }

  private OptionMap serverOptions() {
    return OptionMap.builder()
        .addAll(limits)
        .set(UndertowOptions.ENABLE_HTTP2, false)
        .set(UndertowOptions.SHUTDOWN_TIMEOUT, HANDLER_STOP_MS)
        .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
        .getMap();
  }

  private static <T> void setOption(Undertow.Builder builder, Option<T> option, OptionMap options) {
    builder.setServerOption(option, options.get(option));
  }

  private static HttpHandler toUndertow(RouteHandler handler) {
    return exchange -> send(exchange, respond(handler, exchange));
  }

  private static HttpResponse respond(RouteHandler handler, HttpServerExchange exchange)
      throws IOException {
    try {
      byte[] body = exchange.getInputStream().readAllBytes();
      return handler.respond(new Request(exchange, body));
    } catch (MarigoldmillException e) {
      return HttpResponse.text(e.kind().status(), e.getMessage());
    }
  }

  /** Sends a response, unless one has been started or the connection is closed. */
  public static void send(HttpServerExchange exchange, HttpResponse response) {
    if (exchange.isResponseStarted() || !exchange.getConnection().isOpen()) {
      return;
    }
    exchange.setStatusCode(response.status());
    response
        .headers()
        .forEach(h -> exchange.getResponseHeaders().add(new HttpString(h.name()), h.value()));
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, response.body().length);
    exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
  }
}
