package org.marigoldmill.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpServer.Request;
import org.marigoldmill.schema.settings.StandinSettings;
import org.marigoldmill.schema.upstream.ModelVersion;

/** Fake weight store with limited concurrency of reads and a fixed time for each read. */
public final class WeightStoreStandin implements Standin {
  private static final int PARALLEL_READS = 4;

  private final Map<String, Long> versions = new ConcurrentHashMap<>();
  private final Semaphore reads = new Semaphore(PARALLEL_READS);
  private final AtomicLong served = new AtomicLong();
  private final long readMs;
  private final HttpServer server;

  private WeightStoreStandin(StandinSettings settings, Runnable crash) {
    this.readMs = settings.getTokenMs();
    Faults faults = new Faults(crash);
    this.server =
        faults
            .installRoute(HttpServer.forAddress(settings.getAddress()))
            .post("/publish", faults.wrap(this::publish))
            .get("/version", faults.wrap(this::version))
            .get("/weights", faults.wrap(this::weights))
            .start();
  }

  /** Starts the server; an injected crash fault runs {@code crash}. */
  public static WeightStoreStandin start(StandinSettings settings, Runnable crash) {
    return new WeightStoreStandin(settings, crash);
  }

  @Override
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  private HttpResponse publish(Request request) {
    versions.merge(model(request), request.queryLong("version", 0), Math::max);
    return HttpResponse.json(200, "{}");
  }

  private HttpResponse version(Request request) {
    String model = model(request);
    return HttpResponse.json(
        ModelVersion.newBuilder()
            .setModel(model)
            .setVersion(versions.getOrDefault(model, 0L))
            .build());
  }

  private HttpResponse weights(Request request) {
    if (request.queryLong("version", 0) > versions.getOrDefault(model(request), 0L)) {
      return HttpResponse.text(404, "no such version");
    }
    reads.acquireUninterruptibly();
    try {
      Faults.sleepMs(readMs);
      served.incrementAndGet();
      return HttpResponse.text(200, "weights");
    } finally {
      reads.release();
    }
  }

  private static String model(Request request) {
    return request.query("model").orElse("");
  }
}
