package org.marigoldmill.bench;

import static org.marigoldmill.bench.Bench.figure;
import static org.marigoldmill.bench.Bench.row;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.marigoldmill.core.admission.AdmissionController;
import org.marigoldmill.core.admission.Ticket;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.schema.bench.BenchRow;
import org.marigoldmill.schema.platform.PlatformInstance;

/** Measures the cost of an admission and of an upstream selection by the number of engines. */
final class RoutingBench {
  private static final int[] ENGINE_COUNTS = {6, 50, 250, 2_000};
  private static final int ORGANISATIONS = 8;
  private static final int WARM_UP = 20_000;
  private static final int DECISIONS = 20_000;
  private static final int CAPACITY = 64;
  private static final String POOL = "lm";
  private static final double NANOS_PER_MICRO = 1_000;

  private RoutingBench() {}

  static List<BenchRow> run(long seed) {
    return Arrays.stream(ENGINE_COUNTS).mapToObj(n -> measure(n, seed)).toList();
  }

  private static BenchRow measure(int engines, long seed) {
    UpstreamTable table = UpstreamTable.with(new Random(seed));
    List<PlatformInstance> listed = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      listed.add(
          PlatformInstance.newBuilder()
              .setName("engine-" + i)
              .setPool(POOL)
              .setZone("zone-" + i % 8)
              .build());
    }
    table.replace(listed);
    AdmissionController admission =
        AdmissionController.withLimits(pool -> CAPACITY, pool -> CAPACITY);
    route(table, WARM_UP / Math.max(1, engines / 50));
    admit(admission, WARM_UP);
    int decisions = DECISIONS / Math.max(1, engines / 50);
    double routingMicros = microsPerCall(decisions, () -> route(table, decisions));
    double admissionMicros = microsPerCall(DECISIONS, () -> admit(admission, DECISIONS));
    return row(
        engines + " engines",
        figure("choice of an upstream", "us", routingMicros),
        figure("admission and release", "us", admissionMicros));
  }

  private static double microsPerCall(int count, Runnable work) {
    long startNanos = System.nanoTime();
    work.run();
    return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / count;
  }

  private static void route(UpstreamTable table, int count) {
    for (int i = 0; i < count; i++) {
      table.acquire(POOL, "zone-" + i % 8, CAPACITY, e -> true, i).ifPresent(table::recordSuccess);
    }
  }

  private static void admit(AdmissionController admission, int count) {
    for (int i = 0; i < count; i++) {
      Ticket ticket =
          new Ticket(i, POOL, i % 3, "organisation-" + i % ORGANISATIONS, 1, 1, Long.MAX_VALUE);
      admission.offer(ticket, i);
      admission.release(ticket, 1, 1);
    }
  }
}
