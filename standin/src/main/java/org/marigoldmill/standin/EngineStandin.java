package org.marigoldmill.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpServer.Request;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.settings.StandinSettings;
import org.marigoldmill.schema.standin.Fault;
import org.marigoldmill.schema.standin.FaultKind;
import org.marigoldmill.schema.upstream.EngineStatus;
import org.marigoldmill.schema.upstream.GenerateEvent;
import org.marigoldmill.schema.upstream.GenerateRequest;
import org.marigoldmill.schema.upstream.ModelVersion;
import org.marigoldmill.schema.upstream.WeightOrder;
import org.marigoldmill.schema.upstream.WeightOrderReply;
import org.xnio.IoUtils;

/**
 * Fake model engine. The text of each token contains the weight version that produced it, so that
 * receivers can verify the reported version.
 */
public final class EngineStandin implements Standin {
  private static final int WORKERS = 96;
  private static final int MIN_ANSWER_TOKENS = 4;
  private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

  private final StandinSettings settings;
  private final Faults faults;
  private final ReceivedRequests receivedRequests = new ReceivedRequests();
  private final Map<String, Long> versions = new ConcurrentHashMap<>();
  private final Semaphore slots;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicLong producedTokens = new AtomicLong();
  private final HttpClient client = HttpClient.create("engine-standin", 1);
  private final HttpServer server;

  private EngineStandin(StandinSettings settings, Runnable crash) {
    this.settings = settings;
    this.slots = new Semaphore(settings.getCapacity());
    this.faults = new Faults(crash);
    this.server =
        faults
            .installRoute(HttpServer.forAddress(settings.getAddress()))
            .workerThreads(WORKERS)
            .postStreaming("/generate", this::generate)
            .get("/status", faults.wrap(q -> HttpResponse.json(status())))
            .post("/weights", faults.wrap(this::load))
            .get("/runs", q -> HttpResponse.json(receivedRequests.runs()))
            .start();
  }

  /** Starts the server; an injected crash fault runs {@code crash}. */
  public static EngineStandin start(StandinSettings settings, Runnable crash) {
    return new EngineStandin(settings, crash);
  }

  @Override
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
    client.close();
  }

  /** Returns the number of tokens produced. */
  public long producedTokens() {
    return producedTokens.get();
  }

  /** Returns the requests that the engine has received. */
  public ReceivedRequests receivedRequests() {
    return receivedRequests;
  }

  private EngineStatus status() {
    EngineStatus.Builder status =
        EngineStatus.newBuilder()
            .setName(settings.getName())
            .setRunning(running.get())
            .setWaiting(waiting.get());
    versions.forEach(
        (m, v) -> status.addVersions(ModelVersion.newBuilder().setModel(m).setVersion(v)));
    return status.build();
  }

  private HttpResponse load(Request request) {
    WeightOrder order = ProtoJson.parse(request.body(), WeightOrder.getDefaultInstance());
    long current = versions.getOrDefault(order.getModel(), 0L);
    if (settings.getChecksFencing() && order.getVersion() < current) {
      return reply(false, current, "older than the version loaded");
    }
    if (!order.getStore().isEmpty()) {
      String path = "/weights?model=%s&version=%d".formatted(order.getModel(), order.getVersion());
      if (!client.exchange(HttpCall.get(order.getStore(), path)).successful()) {
        return reply(false, current, "the weight store lacks the version");
      }
    }
    if (!order.getPrefetchOnly()) {
      versions.put(order.getModel(), order.getVersion());
    }
    return reply(true, order.getVersion(), "");
  }

  private static HttpResponse reply(boolean accepted, long version, String reason) {
    return HttpResponse.json(
        WeightOrderReply.newBuilder()
            .setAccepted(accepted)
            .setVersion(version)
            .setReason(reason)
            .build());
  }

  private void generate(HttpServerExchange exchange) throws IOException {
    byte[] body = exchange.getInputStream().readAllBytes();
    Fault fault = faults.nextFault(exchange.getRequestPath(), body);
    if (!faults.applyBefore(fault, exchange)) {
      exchange.setStatusCode(503);
      return;
    }
    GenerateRequest request = ProtoJson.parse(body, GenerateRequest.getDefaultInstance());
    ReceivedRequests.Entry run = receivedRequests.recordStart(exchange, new String(body, UTF_8));
    waiting.incrementAndGet();
    slots.acquireUninterruptibly();
    waiting.decrementAndGet();
    running.incrementAndGet();
    try {
      stream(exchange, request, fault, run);
      run.recordEnd();
    } finally {
      running.decrementAndGet();
      slots.release();
    }
  }

  private void stream(
      HttpServerExchange exchange, GenerateRequest request, Fault fault, ReceivedRequests.Entry run)
      throws IOException {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    String id = exchange.getRequestHeaders().getFirst(REQUEST_ID);
    if (id != null) {
      exchange.getResponseHeaders().put(REQUEST_ID, id);
    }
    int length = answerTokens(request);
    OutputStream out = exchange.getOutputStream();
    for (int i = 0; i < length; i++) {
      Faults.sleepMs(settings.getTokenMs());
      if (fault.getKind() == FaultKind.CUT && i == length / 2) {
        IoUtils.safeClose(exchange.getConnection());
        return;
      }
      long version = versions.getOrDefault(request.getModel(), 0L);
      send(out, event(request, i).setToken("v" + version + "." + i).setVersion(version).build());
      producedTokens.incrementAndGet();
      run.recordToken();
    }
    send(out, event(request, length).setDone(true).setTotal(length).build());
    out.close();
  }

  private static GenerateEvent.Builder event(GenerateRequest request, int index) {
    return GenerateEvent.newBuilder().setRequestId(request.getRequestId()).setIndex(index);
  }

  private static void send(OutputStream out, GenerateEvent event) throws IOException {
    out.write(("data: " + ProtoJson.compact(event) + "\n\n").getBytes(UTF_8));
    out.flush();
  }

  /** Returns a deterministic length: most answers are short, and 5 % use the whole limit. */
  private static int answerTokens(GenerateRequest request) {
    int limit = Math.max(MIN_ANSWER_TOKENS, request.getMaxTokens());
    int hash = Math.floorMod((request.getPrompt() + request.getSeed()).hashCode() * 31, 100);
    return hash >= 95 ? limit : MIN_ANSWER_TOKENS + (limit - MIN_ANSWER_TOKENS) * hash / 300;
  }
}
