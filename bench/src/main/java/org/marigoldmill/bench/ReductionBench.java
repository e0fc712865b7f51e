package org.marigoldmill.bench;

import static org.marigoldmill.bench.Bench.figure;
import static org.marigoldmill.bench.Bench.row;

import java.util.Arrays;
import java.util.List;
import org.marigoldmill.core.config.LogReducer;
import org.marigoldmill.schema.bench.BenchRow;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.declaration.Key;
import org.marigoldmill.schema.declaration.Organisation;
import org.marigoldmill.schema.log.LeaseClaim;
import org.marigoldmill.schema.log.LogRecord;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.log.Usage;
import org.marigoldmill.schema.log.UsageCounter;
import org.marigoldmill.schema.log.WindowReported;
import org.marigoldmill.schema.log.WindowSeal;

/** Measures the cost of reducing a log record and the snapshot size by the number of processes. */
final class ReductionBench {
  private static final int[] PROCESS_COUNTS = {10, 40, 80, 160, 320};
  private static final int ZONE_SIZE = 40;
  private static final int ORGANISATIONS = 8;
  private static final int KEYS = 8;
  private static final int WINDOWS = 60;
  private static final int CLAIMS = 2_000;
  private static final double NANOS_PER_MICRO = 1_000;

  private ReductionBench() {}

  static List<BenchRow> run(long seed) {
    measure(PROCESS_COUNTS[0]);
    return Arrays.stream(PROCESS_COUNTS).mapToObj(ReductionBench::measure).toList();
  }

  private static BenchRow measure(int size) {
    int zones = Math.max(2, size / ZONE_SIZE);
    Snapshot state = apply(LogReducer.empty(), declaration());
    for (int z = 0; z < zones; z++) {
      state = apply(state, claim("ordering/zone-" + z, 0));
      state = apply(state, claim("billing/zone-" + z, 0));
    }
    long sealStartNanos = System.nanoTime();
    int seals = 0;
    for (int w = 1; w <= WINDOWS; w++) {
      for (int z = 0; z < zones; z++, seals++) {
        state = apply(state, seal(state, "billing/zone-" + z, w, size / zones));
        state = apply(state, reported("billing/zone-" + z, w));
      }
    }
    double sealMicros = (System.nanoTime() - sealStartNanos) / NANOS_PER_MICRO / seals;
    long claimStartNanos = System.nanoTime();
    for (int i = 0; i < CLAIMS; i++) {
      String scope = "ordering/zone-" + i % zones;
      state = apply(state, claim(scope, LogReducer.lease(state, scope).get().getLastOffset()));
    }
    double claimMicros = (System.nanoTime() - claimStartNanos) / NANOS_PER_MICRO / CLAIMS;
    return row(
        size + " processes",
        figure("claim", "us per record", claimMicros),
        figure("seal and report", "us per window", sealMicros),
        figure("snapshot", "KB", state.getSerializedSize() / 1e3));
  }

  private static Snapshot apply(Snapshot state, LogRecord logRecord) {
    return LogReducer.apply(state, state.getNextOffset(), logRecord);
  }

  private static LogRecord declaration() {
    Declaration.Builder declaration = Declaration.newBuilder().setUsageWindowMs(60_000);
    for (int o = 0; o < ORGANISATIONS; o++) {
      Organisation.Builder organisation =
          Organisation.newBuilder().setName("organisation-" + o).setWeight(1);
      for (int k = 0; k < KEYS; k++) {
        organisation.addKeys(
            Key.newBuilder().setId("key-" + k).setSha256("%064x".formatted(o * KEYS + k)));
      }
      declaration.addOrganisations(organisation);
    }
    return LogRecord.newBuilder().setDeclaration(declaration).build();
  }

  private static LogRecord claim(String scope, long observed) {
    return LogRecord.newBuilder()
        .setClaim(
            LeaseClaim.newBuilder()
                .setScope(scope)
                .setHolder("entry-001#1796000000000")
                .setObservedOffset(observed)
                .setTtlMs(6_000))
        .build();
  }

  private static LogRecord seal(Snapshot state, String scope, long window, int sources) {
    WindowSeal.Builder seal =
        WindowSeal.newBuilder()
            .setScope(scope)
            .setEpoch(LogReducer.lease(state, scope).get().getEpoch())
            .setWindow(window);
    for (int s = 0; s < sources; s++) {
      UsageCounter.Builder counter =
          UsageCounter.newBuilder().setSource(scope + "/entry-%03d#1796000000000".formatted(s));
      for (int o = 0; o < ORGANISATIONS; o++) {
        counter.addUsage(
            Usage.newBuilder()
                .setOrganisation("organisation-" + o)
                .setRequests(window * 100)
                .setTokens(window * 50_000));
      }
      seal.addCounters(counter);
    }
    return LogRecord.newBuilder().setSeal(seal).build();
  }

  private static LogRecord reported(String scope, long window) {
    return LogRecord.newBuilder()
        .setReported(WindowReported.newBuilder().setScope(scope).setWindow(window))
        .build();
  }
}
