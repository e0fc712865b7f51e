package org.marigoldmill.http;

import com.google.common.flogger.FluentLogger;
import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Blocking HTTP client on Undertow's client, with a connection pool for each address.
 *
 * <p>An idle connection is reused only for a short time. When a connection times out, all idle
 * connections to the same address are closed too, because the cause affects them as well.
 */
public final class HttpClient implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long an idle connection is reused when its receiver sends no Keep-Alive timeout. */
  private static final long DEFAULT_KEEP_ALIVE_MS = 2_000;

  /** Margin by which a connection is retired before its receiver would close it. */
  private static final long KEEP_ALIVE_MARGIN_MS = 800;

  private static final long MAX_CONNECTION_AGE_MS = 30_000;
  private static final int MAX_IDLE_PER_ADDRESS = 64;
  private static final int BUFFER_SIZE_BYTES = 16 * 1024;

  /** Largest response body that is held in memory. */
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

  /** Bodies grow in buffers of up to twice their size, and are copied when they are complete. */
  private static final int HEAP_PART_OF_BODIES = 8;

  /** Shared by all clients, as the heap is. */
  private static final BodyMemory BODY_MEMORY =
      new BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_PART_OF_BODIES);

  /** Time after which a connection that is not established yet is reported as slow. */
  private static final long SLOW_CONNECT_MS = 100;

  private static final OptionMap CONNECT_OPTIONS =
      OptionMap.create(UndertowOptions.ENABLE_HTTP2, false);

  /** Closing a connection resets it, so that what has not arrived yet never does. */
  private static final OptionMap RESET_ON_CLOSE =
      OptionMap.builder().addAll(CONNECT_OPTIONS).set(Options.CLOSE_ABORT, true).getMap();

  /**
   * A connection of the pool, with times of {@link #nowMs}.
   *
   * @param framing follows the responses that arrive on it
   * @param openedAtMs when the connection was established
   * @param reusableUntilMs when the connection ceases to be reusable
   */
  record PooledConnection(
      ClientConnection connection, ResponseFraming framing, long openedAtMs, long reusableUntilMs) {

    /** Returns whether the next response can be told from what has arrived. */
    private boolean isReusable() {
      return connection.isOpen() && !framing.hasExcess();
    }

    private PooledConnection reusableUntil(long untilMs) {
      return new PooledConnection(connection, framing, openedAtMs, untilMs);
    }
  }

  /** A connection that is being established. */
  private record Connecting(IoFuture<ClientConnection> future, ResponseFraming framing) {}

  private final XnioWorker worker;
  private final OptionMap connectOptions;
  private final ConnectionObserver observer;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_SIZE_BYTES);
  private final Map<InetSocketAddress, Deque<PooledConnection>> idleConnections =
      new ConcurrentHashMap<>();

  private volatile boolean closed;

  private HttpClient(XnioWorker worker, OptionMap connectOptions, ConnectionObserver observer) {
    this.worker = worker;
    this.connectOptions = connectOptions;
    this.observer = observer;
  }

  /**
   * Creates a client of upstreams: a request that is given up must not reach them later.
   *
   * @param name name of the threads
   * @param observer told of every connection and call
   */
  public static HttpClient forUpstreams(String name, int ioThreads, ConnectionObserver observer) {
    return create(name, ioThreads, RESET_ON_CLOSE, observer);
  }

  /**
   * Creates a client with its own I/O threads.
   *
   * @param name name of the threads
   */
  public static HttpClient create(String name, int ioThreads) {
    return create(name, ioThreads, CONNECT_OPTIONS, ConnectionObserver.NONE);
  }

  private static HttpClient create(
      String name, int ioThreads, OptionMap connectOptions, ConnectionObserver observer) {
    try {
      OptionMap options =
          OptionMap.builder()
              .set(Options.WORKER_NAME, name)
              .set(Options.WORKER_IO_THREADS, ioThreads)
              .set(Options.WORKER_TASK_CORE_THREADS, 1)
              .set(Options.WORKER_TASK_MAX_THREADS, 2)
              .set(Options.THREAD_DAEMON, true)
              .getMap();
      XnioWorker worker = Xnio.getInstance().createWorker(options);
      return new HttpClient(worker, connectOptions, observer);
    } catch (IOException e) {
      throw new IllegalStateException("cannot start the HTTP client", e);
    }
  }

  /**
   * Makes a call and returns its complete response.
   *
   * @throws HttpCallException when no complete response arrived
   */
  public HttpResponse exchange(HttpCall call) {
    try (HttpStream stream = open(call)) {
      return readAll(stream, call.address().toString());
    }
  }

  /**
   * Reads the rest of a response.
   *
   * @param sender name of the sender in error messages
   * @throws HttpCallException if the body does not end, or is too large to be held
   */
  public static HttpResponse readAll(HttpStream stream, String sender) {
    return readAll(stream, sender, BODY_MEMORY);
  }

  static HttpResponse readAll(HttpStream stream, String sender, BodyMemory memory) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    byte[] chunk = new byte[BUFFER_SIZE_BYTES];
    try (BodyMemory.Body held = memory.open(stream::disconnect)) {
      for (int n = stream.read(chunk); n >= 0; n = stream.read(chunk)) {
        if (body.size() + n > MAX_BODY_BYTES) {
          throw HttpCallException.oversized("body", MAX_BODY_BYTES, sender);
        }
        if (!held.add(n)) {
          throw HttpCallException.outOfMemory("body", sender);
        }
        body.write(chunk, 0, n);
      }
    }
    return new HttpResponse(stream.status(), stream.headers(), body.toByteArray());
  }

  /**
   * Makes a call and returns once the head of the response has arrived.
   *
   * @throws HttpCallException when no response head arrived
   * @throws IllegalArgumentException when the head of the request breaks {@link HttpSyntax}
   */
  public HttpStream open(HttpCall call) {
    HttpSyntax.violation(call.method(), call.path(), call.headers())
        .ifPresent(
            message -> {
              throw new IllegalArgumentException(message);
            });
    observer.callStarted();
    try {
      return openObserved(call);
    } catch (RuntimeException e) {
      observer.callEnded();
      throw e;
    }
  }

  private HttpStream openObserved(HttpCall call) {
    long startMs = nowMs();
    long deadlineMs = startMs + call.totalTimeoutMs();
    PooledConnection pooled = call.freshConnection() ? connect(call) : acquire(call);
    ClientConnection connection = pooled.connection();
    CompletableFuture<ClientExchange> head = new CompletableFuture<>();
    CompletableFuture<Void> sent = new CompletableFuture<>();
    call.cancellation().onCancel(() -> abort(connection, head));
    connection.getIoThread().execute(() -> send(pooled, call, sent, head));
    long headTimeoutMs = Math.min(call.progressTimeoutMs(), deadlineMs - nowMs());
    try {
      ClientExchange exchange = head.get(Math.max(1, headTimeoutMs), TimeUnit.MILLISECONDS);
      observer.bytesReceived();
      return new HttpStream(this, call, pooled, exchange, sent, deadlineMs);
    } catch (TimeoutException e) {
      closeUnresponsive(call.address(), connection);
      throw failure(HttpCallException.Reason.SILENT, call, e);
    } catch (ExecutionException e) {
      IoUtils.safeClose(connection);
      if (e.getCause() instanceof RejectedByGate rejection) {
        throw new HttpCallException(
            HttpCallException.Execution.NOT_SENT,
            HttpCallException.Reason.GATE,
            call.path(),
            rejection);
      }
      throw failure(call, e.getCause());
    } catch (InterruptedException e) {
      IoUtils.safeClose(connection);
      Thread.currentThread().interrupt();
      throw failure(HttpCallException.Reason.CUT, call, e);
    }
  }

  /** Returns whether a new connection to an address can be established. */
  public boolean canConnect(String address) {
    HttpCall probe = HttpCall.get(address, "/").onFreshConnection();
    try {
      release(probe.address(), connect(probe), OptionalLong.empty());
      return true;
    } catch (HttpCallException e) {
      return false;
    }
  }

  /**
   * Tries to establish a new connection to each of some addresses at the same time.
   *
   * <p>The observer is told of each outcome; connections that are established join the pool.
   *
   * @param timeoutMs longest time for all of them together, in milliseconds
   * @return number of connections that were established
   */
  public int probe(Collection<InetSocketAddress> addresses, long timeoutMs) {
    long startMs = nowMs();
    Map<InetSocketAddress, Connecting> connecting = new HashMap<>();
    addresses.forEach(a -> connecting.put(a, startConnecting(a)));
    int established = 0;
    for (Map.Entry<InetSocketAddress, Connecting> each : connecting.entrySet()) {
      InetSocketAddress address = each.getKey();
      long leftMs = Math.max(1, startMs + timeoutMs - nowMs());
      each.getValue().future().await(leftMs, TimeUnit.MILLISECONDS);
      try {
        release(address, established(address, each.getValue(), startMs), OptionalLong.empty());
        established++;
      } catch (HttpCallException e) {
        logger.atFine().log("upstream not reached address=%s cause=%s", address, e);
      }
    }
    return established;
  }

  /** Returns whether this client has been closed. */
  boolean isClosed() {
    return closed;
  }

  @Override
  public void close() {
    closed = true;
    idleConnections.values().forEach(d -> d.forEach(p -> IoUtils.safeClose(p.connection())));
    worker.shutdownNow();
  }

  /**
   * Returns a connection to the pool, or closes it when it is too old or the pool is full.
   *
   * @param keepAliveMs how long the receiver keeps an idle connection, if it said so
   */
  void release(InetSocketAddress address, PooledConnection pooled, OptionalLong keepAliveMs) {
    boolean expired = nowMs() - pooled.openedAtMs() > MAX_CONNECTION_AGE_MS;
    long reuseMs =
        keepAliveMs.isPresent()
            ? keepAliveMs.getAsLong() - KEEP_ALIVE_MARGIN_MS
            : DEFAULT_KEEP_ALIVE_MS;
    Deque<PooledConnection> idleToAddress =
        idleConnections.computeIfAbsent(address, a -> new ArrayDeque<>());
    synchronized (idleToAddress) {
      if (!expired && pooled.isReusable() && idleToAddress.size() < MAX_IDLE_PER_ADDRESS) {
        idleToAddress.push(pooled.reusableUntil(nowMs() + reuseMs));
        return;
      }
    }
    IoUtils.safeClose(pooled.connection());
  }

  /** Closes a connection that timed out and all idle connections to its address. */
  void closeUnresponsive(InetSocketAddress address, ClientConnection connection) {
    IoUtils.safeClose(connection);
    Deque<PooledConnection> idleToAddress = idleConnections.remove(address);
    if (idleToAddress != null) {
      synchronized (idleToAddress) {
        idleToAddress.forEach(p -> IoUtils.safeClose(p.connection()));
      }
    }
  }

  private static void abort(ClientConnection connection, CompletableFuture<ClientExchange> head) {
    head.completeExceptionally(new InterruptedIOException("aborted by this process"));
    IoUtils.safeClose(connection);
  }

  private PooledConnection acquire(HttpCall call) {
    Deque<PooledConnection> idleToAddress =
        idleConnections.computeIfAbsent(call.address(), a -> new ArrayDeque<>());
    synchronized (idleToAddress) {
      while (!idleToAddress.isEmpty()) {
        PooledConnection pooled = idleToAddress.pop();
        boolean recent = nowMs() <= pooled.reusableUntilMs();
        if (recent && pooled.isReusable()) {
          return pooled;
        }
        IoUtils.safeClose(pooled.connection());
      }
    }
    return connect(call);
  }

  private PooledConnection connect(HttpCall call) {
    long startMs = nowMs();
    Connecting connecting = startConnecting(call.address());
    IoFuture<ClientConnection> future = connecting.future();
    long slowMs = Math.min(SLOW_CONNECT_MS, call.connectTimeoutMs());
    if (future.await(slowMs, TimeUnit.MILLISECONDS) == IoFuture.Status.WAITING) {
      observer.connectSlow(call.address(), nowMs() - startMs);
      future.await(call.connectTimeoutMs() - slowMs, TimeUnit.MILLISECONDS);
    }
    return established(call.address(), connecting, startMs);
  }

  private Connecting startConnecting(InetSocketAddress address) {
    URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort() + "/");
    ResponseFraming framing = new ResponseFraming();
    FramedConnector connector = new FramedConnector(worker, framing);
    return new Connecting(
        UndertowClient.getInstance().connect(uri, connector, buffers, connectOptions), framing);
  }

  /** Returns the connection, or gives it up if it has not been established by now. */
  private PooledConnection established(
      InetSocketAddress address, Connecting connecting, long startMs) {
    IoFuture<ClientConnection> future = connecting.future();
    IoFuture.Status status = future.getStatus();
    if (status != IoFuture.Status.DONE) {
      future.addNotifier(new CloseLateConnection(), null);
      future.cancel();
      boolean refused = status == IoFuture.Status.FAILED;
      observer.notConnected(address, nowMs() - startMs, refused);
      throw notConnected(String.valueOf(address), refused ? future.getException() : null);
    }
    try {
      PooledConnection pooled =
          new PooledConnection(future.get(), connecting.framing(), nowMs(), nowMs());
      observer.connected(address);
      return pooled;
    } catch (IOException e) {
      throw notConnected(e.getMessage(), e);
    }
  }

  private static HttpCallException notConnected(String detail, Throwable cause) {
    return new HttpCallException(
        HttpCallException.Execution.NOT_SENT, HttpCallException.Reason.CONNECT, detail, cause);
  }

  /** Returns the observer of this client's connections. */
  ConnectionObserver observer() {
    return observer;
  }

  private static void send(
      PooledConnection pooled,
      HttpCall call,
      CompletableFuture<Void> sent,
      CompletableFuture<ClientExchange> head) {
    try {
      call.gate().run();
    } catch (RuntimeException e) {
      head.completeExceptionally(new RejectedByGate(e));
      return;
    }
    ClientRequest request =
        new ClientRequest()
            .setMethod(new HttpString(call.method()))
            .setPath(call.path())
            .setProtocol(io.undertow.util.Protocols.HTTP_1_1);
    call.headers()
        .forEach(h -> request.getRequestHeaders().add(new HttpString(h.name()), h.value()));
    if (!request.getRequestHeaders().contains(Headers.HOST)) {
      request
          .getRequestHeaders()
          .put(Headers.HOST, call.address().getHostString() + ":" + call.address().getPort());
    }
    if (call.body().length > 0 || !call.method().equals("GET")) {
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
    }
    pooled.framing().expectResponseTo(call.method());
    pooled.connection().sendRequest(request, new SendCallback(call.body(), sent, head));
  }

  /** Creates the exception of a call whose response cannot be read to its end. */
  static HttpCallException failure(HttpCall call, Throwable cause) {
    return failure(
        cause instanceof MalformedResponseException malformed
            ? malformed.reason()
            : HttpCallException.Reason.CUT,
        call,
        cause);
  }

  /** Creates the exception of a call that the receiver may have executed. */
  static HttpCallException failure(
      HttpCallException.Reason reason, HttpCall call, Throwable cause) {
    return new HttpCallException(
        HttpCallException.Execution.MAYBE_RUN, reason, call.address() + call.path(), cause);
  }

  /** Returns the monotonic clock, in milliseconds. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private static final class RejectedByGate extends RuntimeException {
    private RejectedByGate(RuntimeException cause) {
      super(cause);
    }
  }

  /** Closes a connection that is established after its connect timeout. */
  private static final class CloseLateConnection
      extends IoFuture.HandlingNotifier<ClientConnection, Object> {
    @Override
    public void handleDone(ClientConnection connection, Object attachment) {
      IoUtils.safeClose(connection);
    }
  }

  @SuppressWarnings("ArrayRecordComponent")
  private record SendCallback(
      byte[] body, CompletableFuture<Void> sent, CompletableFuture<ClientExchange> head)
      implements ClientCallback<ClientExchange> {
    @Override
    public void completed(ClientExchange exchange) {
      exchange.setResponseListener(
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchangeWithResponse) {
              head.complete(exchangeWithResponse);
            }

            @Override
            public void failed(IOException e) {
              head.completeExceptionally(e);
            }
          });
      if (body.length > 0) {
        new BodyWriter(body, sent, head).start(exchange.getRequestChannel());
      } else {
        sent.complete(null);
      }
    }

    @Override
    public void failed(IOException e) {
      head.completeExceptionally(new InterruptedIOException(e.getMessage()));
    }
  }
}
