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
 * A model engine. Each token's text names the version that produced it, so that receivers can check
 * what they were told.
 */
public final class EngineStandin implements Standin {
  private static final int WORKERS = 96;
  private static final int SHORTEST_ANSWER = 4;
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
            .install(HttpServer.forAddress(settings.getAddress()))
            .workerThreads(WORKERS)
            .postStreaming("/generate", this::generate)
            .get("/status", faults.wrap(q -> HttpResponse.json(status())))
            .post("/weights", faults.wrap(this::load))
            .get("/runs", q -> HttpResponse.json(receivedRequests.runs()))
            .start();
  }

  /** Starts the stand-in. */
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

  /** Returns how many tokens were produced. */
  public long producedTokens() {
    return producedTokens.get();
  }

  /** Returns what the engine has seen. */
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

  private HttpResponse load(Request question) {
    WeightOrder order = ProtoJson.parse(question.body(), WeightOrder.getDefaultInstance());
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
    Fault met = faults.meet(exchange.getRequestPath(), body);
    if (!faults.before(met, exchange)) {
      exchange.setStatusCode(503);
      return;
    }
    GenerateRequest request = ProtoJson.parse(body, GenerateRequest.getDefaultInstance());
    ReceivedRequests.Entry run = receivedRequests.start(exchange, new String(body, UTF_8));
    waiting.incrementAndGet();
    slots.acquireUninterruptibly();
    waiting.decrementAndGet();
    running.incrementAndGet();
    try {
      stream(exchange, request, met, run);
      run.finish();
    } finally {
      running.decrementAndGet();
      slots.release();
    }
  }

  private void stream(
      HttpServerExchange exchange, GenerateRequest request, Fault met, ReceivedRequests.Entry run)
      throws IOException {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    String id = exchange.getRequestHeaders().getFirst(REQUEST_ID);
    if (id != null) {
      exchange.getResponseHeaders().put(REQUEST_ID, id);
    }
    int length = length(request);
    OutputStream out = exchange.getOutputStream();
    for (int i = 0; i < length; i++) {
      Faults.pause(settings.getTokenMs());
      if (met.getKind() == FaultKind.CUT && i == length / 2) {
        IoUtils.safeClose(exchange.getConnection());
        return;
      }
      long version = versions.getOrDefault(request.getModel(), 0L);
      send(out, event(request, i).setToken("v" + version + "." + i).setVersion(version).build());
      producedTokens.incrementAndGet();
      run.token();
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

  /** Most answers are short and a few take the whole limit. */
  private static int length(GenerateRequest request) {
    int limit = Math.max(SHORTEST_ANSWER, request.getMaxTokens());
    int hash = Math.floorMod((request.getPrompt() + request.getSeed()).hashCode() * 31, 100);
    return hash >= 95 ? limit : SHORTEST_ANSWER + (limit - SHORTEST_ANSWER) * hash / 300;
  }
}
