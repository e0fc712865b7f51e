package org.marigoldmill.bench;

import static org.marigoldmill.bench.Bench.figure;
import static org.marigoldmill.declare.Declare.job;
import static org.marigoldmill.declare.Declare.organisation;
import static org.marigoldmill.declare.Declare.pool;
import static org.marigoldmill.declare.Declare.service;

import java.util.ArrayList;
import java.util.List;
import org.marigoldmill.declare.Declare;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.bench.BenchRow;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.upstream.TrainerReport;
import org.marigoldmill.server.EntryInstance;
import org.marigoldmill.standin.EngineStandin;
import org.marigoldmill.standin.LocalSystem;
import org.marigoldmill.standin.TrainerStandin;

/**
 * Measures the idle share of a trainer and the tokens generated for each delivered token, with six
 * engines in two zones.
 *
 * <p>The baseline is the synchronous step: with a staleness bound of 0 no samples can be generated
 * ahead of the next weight version.
 */
final class RolloutBench {
  private static final String KEY = "key-of-bench";
  private static final int GROUPS = 16;
  private static final int GROUP_SIZE = 4;
  private static final int MAX_TOKENS = 96;
  private static final int ENGINES = 6;
  private static final int STEPS = 12;
  private static final long TRAIN_MS = 400;
  private static final long TOKEN_MS = 8;
  private static final long SLOW_TOKEN_MS = 80;
  private static final long TRAINER_TIMEOUT_MS = 120_000;
  private static final double MS_PER_SECOND = 1_000;

  private RolloutBench() {}

  static List<BenchRow> run(long seed) {
    List<BenchRow> rows = new ArrayList<>();
    rows.add(measure("no fault, synchronous step", 0, TOKEN_MS));
    rows.add(measure("no fault, one version ahead", 1, TOKEN_MS));
    rows.add(measure("one engine 10x slow, synchronous step", 0, SLOW_TOKEN_MS));
    rows.add(measure("one engine 10x slow, one version ahead", 1, SLOW_TOKEN_MS));
    return rows;
  }

  private static BenchRow measure(String label, int stalenessBound, long firstEngineTokenMs) {
    try (LocalSystem system = LocalSystem.start();
        EntryInstance a = EntryInstance.start(system.serveSettings("bench-a1", "a"));
        EntryInstance b = EntryInstance.start(system.serveSettings("bench-b1", "b"));
        HttpClient client = HttpClient.create("bench", 1)) {
      List<EngineStandin> engines = startEngines(system, firstEngineTokenMs);
      String operator = system.operatorAddress("bench-a1");
      client.exchange(
          HttpCall.post(
              operator, "/declaration", ProtoJson.bytes(declaration(system, stalenessBound))));
      awaitReady(client, operator);
      TrainerReport report = runTrainer(system, stalenessBound);
      long producedTokens = engines.stream().mapToLong(EngineStandin::producedTokens).sum();
      a.drain();
      b.drain();
      return Bench.row(
          label,
          figure("idle share", "", (double) report.getIdleMs() / report.getElapsedMs()),
          figure("steps", "1/s", report.getSteps() * MS_PER_SECOND / report.getElapsedMs()),
          figure("tokens made for one delivered", "", (double) producedTokens / report.getTokens()),
          figure("duplicates", "", (double) report.getDuplicates()),
          figure("over the bound", "", (double) report.getOverBound()),
          figure("wrong versions", "", (double) report.getWrongVersions()));
    }
  }

  private static List<EngineStandin> startEngines(LocalSystem system, long firstTokenMs) {
    List<EngineStandin> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      String zone = i % 2 == 0 ? "a" : "b";
      long tokenMs = i == 0 ? firstTokenMs : TOKEN_MS;
      engines.add(
          (EngineStandin)
              system.startStandin(
                  "engine",
                  "engine-" + i,
                  e -> system.withInstanceList(e, zone, "lm").setTokenMs(tokenMs)));
    }
    return engines;
  }

  private static TrainerReport runTrainer(LocalSystem system, int stalenessBound) {
    TrainerStandin trainer =
        (TrainerStandin)
            system.startStandin(
                "trainer",
                "trainer",
                t ->
                    t.setJob("sheets")
                        .setKey(KEY)
                        .addEntries(system.callerAddress("bench-a1"))
                        .addEntries(system.callerAddress("bench-b1"))
                        .setWeightStore(system.weightStore())
                        .setSteps(STEPS)
                        .setSamplesPerStep(GROUPS * GROUP_SIZE)
                        .setGroupSize(GROUP_SIZE)
                        .setTrainMs(TRAIN_MS)
                        .setStalenessBound(stalenessBound));
    if (!trainer.awaitEnd(TRAINER_TIMEOUT_MS)) {
      throw new IllegalStateException(
          "expected the trainer to finish within " + TRAINER_TIMEOUT_MS + " ms");
    }
    return trainer.report();
  }

  private static Declaration declaration(LocalSystem system, int stalenessBound) {
    return Declare.against(0)
        .with(organisation("tuul").keyInClear("bench", KEY))
        .with(pool("lm").zone("a").size(0, ENGINES))
        .with(pool("lm").zone("b").size(0, ENGINES))
        .with(service("assistant").in("lm").model())
        .with(
            job("sheets")
                .organisation("tuul")
                .engines("lm", "sheets")
                .step(GROUPS, GROUP_SIZE)
                .stalenessBound(stalenessBound)
                .maxTokens(MAX_TOKENS)
                .weightStore(system.weightStore()))
        .build();
  }

  private static void awaitReady(HttpClient client, String operator) {
    while (!client.exchange(HttpCall.get(operator, "/ready")).successful()
        || !client
            .exchange(HttpCall.get(operator, "/show/upstreams"))
            .text()
            .contains("engine-" + (ENGINES - 1))) {
      Thread.onSpinWait();
    }
  }
}
