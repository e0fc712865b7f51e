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

/** The rate-limited weight store: a few reads at a time, each of which takes a while. */
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
            .install(HttpServer.forAddress(settings.getAddress()))
            .post("/publish", faults.wrap(this::publish))
            .get("/version", faults.wrap(this::version))
            .get("/weights", faults.wrap(this::weights))
            .start();
  }

  /** Starts the stand-in. */
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

  private HttpResponse publish(Request question) {
    versions.merge(model(question), question.queryLong("version", 0), Math::max);
    return HttpResponse.json(200, "{}");
  }

  private HttpResponse version(Request question) {
    String model = model(question);
    return HttpResponse.json(
        ModelVersion.newBuilder()
            .setModel(model)
            .setVersion(versions.getOrDefault(model, 0L))
            .build());
  }

  private HttpResponse weights(Request question) {
    if (question.queryLong("version", 0) > versions.getOrDefault(model(question), 0L)) {
      return HttpResponse.text(404, "no such version");
    }
    reads.acquireUninterruptibly();
    try {
      Faults.pause(readMs);
      served.incrementAndGet();
      return HttpResponse.text(200, "weights");
    } finally {
      reads.release();
    }
  }

  private static String model(Request question) {
    return question.query("model").orElse("");
  }
}
