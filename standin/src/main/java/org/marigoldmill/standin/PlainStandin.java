package org.marigoldmill.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpServer.Request;
import org.marigoldmill.schema.settings.StandinSettings;
import org.marigoldmill.schema.upstream.EngineStatus;

/** Fake upstream of a plain service; echoes the body of each call. */
public final class PlainStandin implements Standin {
  private static final int WORKERS = 96;

  private final StandinSettings settings;
  private final ReceivedRequests receivedRequests = new ReceivedRequests();
  private final HttpServer server;

  private PlainStandin(StandinSettings settings, Runnable crash) {
    this.settings = settings;
    Faults faults = new Faults(crash);
    this.server =
        faults
            .installRoute(HttpServer.forAddress(settings.getAddress()))
            .workerThreads(WORKERS)
            .post("/call", faults.wrap(this::call))
            .get("/call", faults.wrap(this::call))
            .get("/status", q -> HttpResponse.json(status()))
            .get("/runs", q -> HttpResponse.json(receivedRequests.runs()))
            .start();
  }

  /** Starts the server; an injected crash fault runs {@code crash}. */
  public static PlainStandin start(StandinSettings settings, Runnable crash) {
    return new PlainStandin(settings, crash);
  }

  @Override
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  /** Returns the requests that the service has received. */
  public ReceivedRequests receivedRequests() {
    return receivedRequests;
  }

  private EngineStatus status() {
    return EngineStatus.newBuilder().setName(settings.getName()).build();
  }

  private HttpResponse call(Request request) {
    HttpServerExchange exchange = request.exchange();
    String body = new String(request.body(), UTF_8);
    ReceivedRequests.Entry run = receivedRequests.recordStart(exchange, body);
    if (settings.getTokenMs() > 0) {
      Faults.sleepMs(settings.getTokenMs());
    }
    run.recordEnd();
    List<Header> echoed =
        request.header("X-Request-Id").map(id -> new Header("X-Request-Id", id)).stream().toList();
    return new HttpResponse(200, echoed, ("echo:" + body).getBytes(UTF_8));
  }
}
