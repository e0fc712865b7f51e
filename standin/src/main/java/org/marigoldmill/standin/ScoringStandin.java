package org.marigoldmill.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpServer.Request;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.settings.StandinSettings;
import org.marigoldmill.schema.upstream.EngineStatus;
import org.marigoldmill.schema.upstream.ScoreReply;
import org.marigoldmill.schema.upstream.ScoreRequest;

/** Fake scoring service that counts the requests for each sample. */
public final class ScoringStandin implements Standin {
  private static final int WORKERS = 32;

  private final StandinSettings settings;
  private final Map<String, Integer> calls = new ConcurrentHashMap<>();
  private final HttpServer server;

  private ScoringStandin(StandinSettings settings, Runnable crash) {
    this.settings = settings;
    Faults faults = new Faults(crash);
    this.server =
        faults
            .installRoute(HttpServer.forAddress(settings.getAddress()))
            .workerThreads(WORKERS)
            .post("/score", faults.wrap(this::score))
            .get("/status", q -> HttpResponse.json(status()))
            .get("/repeated", q -> HttpResponse.text(200, Long.toString(repeated())))
            .start();
  }

  /** Starts the server; an injected crash fault runs {@code crash}. */
  public static ScoringStandin start(StandinSettings settings, Runnable crash) {
    return new ScoringStandin(settings, crash);
  }

  @Override
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  /** Returns the number of samples that were scored more than once. */
  public long repeated() {
    return calls.values().stream().filter(n -> n > 1).count();
  }

  private EngineStatus status() {
    return EngineStatus.newBuilder().setName(settings.getName()).build();
  }

  private HttpResponse score(Request httpRequest) {
    ScoreRequest request = ProtoJson.parse(httpRequest.body(), ScoreRequest.getDefaultInstance());
    calls.merge(request.getSampleId(), 1, Integer::sum);
    double score = Math.floorMod(request.getText().hashCode(), 1000) / 1000.0;
    return HttpResponse.json(
        ScoreReply.newBuilder().setSampleId(request.getSampleId()).setScore(score).build());
  }
}
