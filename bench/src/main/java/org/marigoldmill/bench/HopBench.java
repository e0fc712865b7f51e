package org.marigoldmill.bench;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.marigoldmill.bench.Bench.figure;
import static org.marigoldmill.declare.Declare.organisation;
import static org.marigoldmill.declare.Declare.pool;
import static org.marigoldmill.declare.Declare.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.marigoldmill.declare.Declare;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.bench.BenchRow;
import org.marigoldmill.server.EntryInstance;
import org.marigoldmill.standin.LocalSystem;

/**
 * Measures latency and throughput of calls through one entry instance; the baseline calls the same
 * fake service directly.
 */
final class HopBench {
  private static final int WARM_UP = 3_000;
  private static final int CALLS = 5_000;
  private static final int THREADS = 8;
  private static final String KEY = "key-of-bench";
  private static final double MICROS_PER_MS = 1_000;
  private static final long HIGHEST_MICROS = 60_000_000;

  private HopBench() {}

  static List<BenchRow> run(long seed) {
    try (LocalSystem system = LocalSystem.start();
        EntryInstance entry = EntryInstance.start(system.serveSettings("bench-a1", "a"));
        HttpClient client = HttpClient.create("bench", 2)) {
      String direct = system.startUpstream("plain", "records-1", "a", "records", 0);
      publishDeclaration(system, client);
      Objects.requireNonNull(entry, "entry");
      String through = system.callerAddress("bench-a1");
      HttpCall directCall = call(direct, "/call");
      HttpCall throughCall = call(through, "/v1/lookups/call");
      List<BenchRow> rows = new ArrayList<>();
      for (int threads : new int[] {1, THREADS}) {
        measure(client, directCall, threads, WARM_UP);
        measure(client, throughCall, threads, WARM_UP);
        rows.add(measure(client, directCall, threads, CALLS).row("direct, " + threads));
        rows.add(measure(client, throughCall, threads, CALLS).row("through, " + threads));
      }
      return rows;
    }
  }

  private record LatencyResult(Histogram micros, double seconds) {
    private BenchRow row(String label) {
      return Bench.row(
          label + " callers",
          figure("p50", "ms", micros.getValueAtPercentile(50) / MICROS_PER_MS),
          figure("p99", "ms", micros.getValueAtPercentile(99) / MICROS_PER_MS),
          figure("calls", "1/s", micros.getTotalCount() / seconds));
    }
  }

  private static LatencyResult measure(HttpClient client, HttpCall call, int threads, int calls) {
    Histogram micros = new ConcurrentHistogram(HIGHEST_MICROS, 3);
    long startNanos = System.nanoTime();
    List<Thread> workers = new ArrayList<>();
    for (int t = 0; t < threads; t++) {
      Thread thread = new Thread(() -> callRepeatedly(client, call, calls / threads, micros));
      thread.start();
      workers.add(thread);
    }
    workers.forEach(HopBench::join);
    return new LatencyResult(
        micros, (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1));
  }

  private static void callRepeatedly(
      HttpClient client, HttpCall call, int calls, Histogram micros) {
    for (int i = 0; i < calls; i++) {
      long startNanos = System.nanoTime();
      int status = client.exchange(call).status();
      if (status != 200) {
        throw new IllegalStateException("expected status 200 but was " + status);
      }
      micros.recordValue((System.nanoTime() - startNanos) / 1_000);
    }
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static HttpCall call(String address, String path) {
    return HttpCall.post(address, path, "certificate 4711".getBytes(UTF_8))
        .headers(List.of(new Header("Authorization", "Bearer " + KEY)));
  }

  private static void publishDeclaration(LocalSystem system, HttpClient client) {
    var declaration =
        Declare.against(0)
            .with(organisation("tuul").keyInClear("bench", KEY))
            .with(pool("records").zone("a").size(0, 1).maxInFlight(64))
            .with(service("lookups").in("records").idempotent())
            .build();
    String operator = system.operatorAddress("bench-a1");
    client.exchange(HttpCall.post(operator, "/declaration", ProtoJson.bytes(declaration)));
    while (!client.exchange(HttpCall.get(operator, "/ready")).successful()
        || !client.exchange(HttpCall.get(operator, "/show/upstreams")).text().contains("records")) {
      Thread.onSpinWait();
    }
  }
}
