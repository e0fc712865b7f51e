package org.marigoldmill.http;

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
import java.util.Deque;
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
 * Blocking HTTP client on Undertow's client, with a pool of connections for each receiver.
 *
 * <p>A pooled connection is used again only for a short time. When one is found silent, all idle
 * connections to the same receiver are closed, because what silenced one has silenced its kin.
 */
public final class HttpClient implements AutoCloseable {
  /** Idle time after which a connection is closed unless its receiver has told its own limit. */
  private static final long REUSE_IDLE_MS = 2_000;

  /** A connection is closed this much earlier than its receiver would close it. */
  private static final long KEEP_ALIVE_MARGIN_MS = 800;

  private static final long REUSE_AGE_MS = 30_000;
  private static final int IDLE_PER_ADDRESS = 64;
  private static final int BUFFER_BYTES = 16 * 1024;

  record Pooled(ClientConnection connection, long openedAt, long reusableUntil) {}

  private final XnioWorker worker;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
  private final Map<InetSocketAddress, Deque<Pooled>> idle = new ConcurrentHashMap<>();

  private volatile boolean closed;

  private HttpClient(XnioWorker worker) {
    this.worker = worker;
  }

  /** Creates a client with its own I/O threads. */
  public static HttpClient create(String name, int ioThreads) {
    try {
      OptionMap options =
          OptionMap.builder()
              .set(Options.WORKER_NAME, name)
              .set(Options.WORKER_IO_THREADS, ioThreads)
              .set(Options.WORKER_TASK_CORE_THREADS, 1)
              .set(Options.WORKER_TASK_MAX_THREADS, 2)
              .set(Options.THREAD_DAEMON, true)
              .getMap();
      return new HttpClient(Xnio.getInstance().createWorker(options));
    } catch (IOException e) {
      throw new IllegalStateException("cannot start the HTTP client", e);
    }
  }

  /**
   * Makes a call and reads its whole answer.
   *
   * @throws HttpCallException when no whole answer came
   */
  public HttpResponse exchange(HttpCall call) {
    try (HttpStream stream = open(call)) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      byte[] chunk = new byte[BUFFER_BYTES];
      for (int n = stream.read(chunk); n >= 0; n = stream.read(chunk)) {
        body.write(chunk, 0, n);
      }
      return new HttpResponse(stream.status(), stream.headers(), body.toByteArray());
    }
  }

  /**
   * Makes a call and returns once the head of its answer is there.
   *
   * @throws HttpCallException when no answer came
   */
  public HttpStream open(HttpCall call) {
    long now = nowMs();
    long deadline = now + call.deadlineMs();
    Pooled pooled = call.freshConnection() ? connect(call) : take(call);
    ClientConnection connection = pooled.connection();
    CompletableFuture<ClientExchange> head = new CompletableFuture<>();
    call.cancellation().attach(() -> cut(connection, head));
    connection.getIoThread().execute(() -> send(connection, call, head));
    long wait = Math.min(call.progressTimeoutMs(), deadline - nowMs());
    try {
      ClientExchange exchange = head.get(Math.max(1, wait), TimeUnit.MILLISECONDS);
      return new HttpStream(this, call, pooled, exchange, deadline);
    } catch (TimeoutException e) {
      silent(call.address(), connection);
      throw failure(HttpCallException.Reason.SILENT, call, e);
    } catch (ExecutionException e) {
      IoUtils.safeClose(connection);
      if (e.getCause() instanceof GateClosed closed) {
        throw new HttpCallException(
            HttpCallException.Execution.NOT_SENT,
            HttpCallException.Reason.GATE,
            call.path(),
            closed);
      }
      throw failure(HttpCallException.Reason.CUT, call, e.getCause());
    } catch (InterruptedException e) {
      IoUtils.safeClose(connection);
      Thread.currentThread().interrupt();
      throw failure(HttpCallException.Reason.CUT, call, e);
    }
  }

  /** Returns whether an address accepts a new connection. */
  public boolean canConnect(String address) {
    HttpCall probe = HttpCall.get(address, "/").onFreshConnection();
    try {
      giveBack(probe.address(), connect(probe), OptionalLong.empty());
      return true;
    } catch (HttpCallException e) {
      return false;
    }
  }

  /** Returns whether this client has been closed. */
  boolean closed() {
    return closed;
  }

  @Override
  public void close() {
    closed = true;
    idle.values().forEach(d -> d.forEach(p -> IoUtils.safeClose(p.connection())));
    worker.shutdownNow();
  }

  /** Keeps a connection for another call, for as long as its receiver keeps it. */
  void giveBack(InetSocketAddress address, Pooled pooled, OptionalLong keepAliveMs) {
    boolean old = nowMs() - pooled.openedAt() > REUSE_AGE_MS;
    long idleMs =
        keepAliveMs.isPresent() ? keepAliveMs.getAsLong() - KEEP_ALIVE_MARGIN_MS : REUSE_IDLE_MS;
    Deque<Pooled> kept = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
    synchronized (kept) {
      if (!old && pooled.connection().isOpen() && kept.size() < IDLE_PER_ADDRESS) {
        kept.push(new Pooled(pooled.connection(), pooled.openedAt(), nowMs() + idleMs));
        return;
      }
    }
    IoUtils.safeClose(pooled.connection());
  }

  void silent(InetSocketAddress address, ClientConnection connection) {
    IoUtils.safeClose(connection);
    Deque<Pooled> kin = idle.remove(address);
    if (kin != null) {
      synchronized (kin) {
        kin.forEach(p -> IoUtils.safeClose(p.connection()));
      }
    }
  }

  private static void cut(ClientConnection connection, CompletableFuture<ClientExchange> head) {
    head.completeExceptionally(new InterruptedIOException("cut by this process"));
    IoUtils.safeClose(connection);
  }

  private Pooled take(HttpCall call) {
    Deque<Pooled> kept = idle.computeIfAbsent(call.address(), a -> new ArrayDeque<>());
    synchronized (kept) {
      while (!kept.isEmpty()) {
        Pooled pooled = kept.pop();
        boolean recent = nowMs() <= pooled.reusableUntil();
        if (recent && pooled.connection().isOpen()) {
          return pooled;
        }
        IoUtils.safeClose(pooled.connection());
      }
    }
    return connect(call);
  }

  private Pooled connect(HttpCall call) {
    URI uri =
        URI.create(
            "http://" + call.address().getHostString() + ":" + call.address().getPort() + "/");
    IoFuture<ClientConnection> future =
        UndertowClient.getInstance()
            .connect(uri, worker, buffers, OptionMap.create(UndertowOptions.ENABLE_HTTP2, false));
    IoFuture.Status status = future.await(call.connectTimeoutMs(), TimeUnit.MILLISECONDS);
    if (status != IoFuture.Status.DONE) {
      future.addNotifier(new CloseLateConnection(), null);
      future.cancel();
      throw new HttpCallException(
          HttpCallException.Execution.NOT_SENT,
          HttpCallException.Reason.CONNECT,
          String.valueOf(call.address()),
          status == IoFuture.Status.FAILED ? future.getException() : null);
    }
    try {
      return new Pooled(future.get(), nowMs(), nowMs());
    } catch (IOException e) {
      throw new HttpCallException(
          HttpCallException.Execution.NOT_SENT,
          HttpCallException.Reason.CONNECT,
          e.getMessage(),
          e);
    }
  }

  private static void send(
      ClientConnection connection, HttpCall call, CompletableFuture<ClientExchange> head) {
    try {
      call.gate().run();
    } catch (RuntimeException e) {
      head.completeExceptionally(new GateClosed(e));
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
    connection.sendRequest(request, new SendCallback(call.body(), head));
  }

  static HttpCallException failure(
      HttpCallException.Reason reason, HttpCall call, Throwable cause) {
    return new HttpCallException(
        HttpCallException.Execution.MAYBE_RUN, reason, call.address() + call.path(), cause);
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private static final class GateClosed extends RuntimeException {
    private GateClosed(RuntimeException cause) {
      super(cause);
    }
  }

  private static final class CloseLateConnection
      extends IoFuture.HandlingNotifier<ClientConnection, Object> {
    @Override
    public void handleDone(ClientConnection connection, Object attachment) {
      IoUtils.safeClose(connection);
    }
  }

  @SuppressWarnings("ArrayRecordComponent")
  private record SendCallback(byte[] body, CompletableFuture<ClientExchange> head)
      implements ClientCallback<ClientExchange> {
    @Override
    public void completed(ClientExchange exchange) {
      exchange.setResponseListener(
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange answered) {
              head.complete(answered);
            }

            @Override
            public void failed(IOException e) {
              head.completeExceptionally(e);
            }
          });
      if (body.length > 0) {
        new BodyWriter(body, head).start(exchange.getRequestChannel());
      }
    }

    @Override
    public void failed(IOException e) {
      head.completeExceptionally(new InterruptedIOException(e.getMessage()));
    }
  }
}
