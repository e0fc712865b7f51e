package org.marigoldmill.standin;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.settings.StandinSettings;
import org.marigoldmill.schema.upstream.DrawReply;
import org.marigoldmill.schema.upstream.DrawRequest;
import org.marigoldmill.schema.upstream.Sample;
import org.marigoldmill.schema.upstream.SampleGroup;
import org.marigoldmill.schema.upstream.TrainerReport;
import org.marigoldmill.schema.upstream.VersionSpan;

/**
 * Fake trainer: in each step it publishes weights, draws the groups of the step, and waits for the
 * training time.
 *
 * <p>It counts violations of the guarantees of the service: duplicate and missing samples, samples
 * over the staleness bound, and samples whose version spans differ from the versions in the token
 * texts.
 */
public final class TrainerStandin implements Standin {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long LONG_POLL_MS = 1_000;
  private static final long DRAW_TIMEOUT_MS = 4_000;
  private static final long RETRY_PAUSE_MS = 50;

  private final StandinSettings settings;
  private final int groupsPerStep;
  private final HttpClient client = HttpClient.create("trainer-standin", 1);
  private final HttpServer server;
  private final Set<String> samplesSeen = new HashSet<>();
  private final TrainerReport.Builder report = TrainerReport.newBuilder();
  private final Thread loop;
  private volatile boolean stopped;
  private int nextEntry;

  private TrainerStandin(StandinSettings settings) {
    this.settings = settings;
    this.groupsPerStep = settings.getSamplesPerStep() / settings.getGroupSize();
    report.setJob(settings.getJob());
    this.server =
        HttpServer.forAddress(settings.getAddress())
            .get("/report", q -> HttpResponse.json(report()))
            .start();
    this.loop = new Thread(this::run, "trainer-" + settings.getJob());
    loop.setDaemon(true);
  }

  /** Starts the server and the training loop. */
  public static TrainerStandin start(StandinSettings settings) {
    TrainerStandin trainer = new TrainerStandin(settings);
    trainer.loop.start();
    return trainer;
  }

  @Override
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    stopped = true;
    loop.interrupt();
    server.close();
    client.close();
  }

  /** Returns the counts so far. */
  public TrainerReport report() {
    synchronized (report) {
      return report.build();
    }
  }

  /** Waits up to the given time in ms for the last step; returns whether the trainer has ended. */
  public boolean awaitEnd(long ms) {
    try {
      loop.join(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return !loop.isAlive();
  }

  private void run() {
    long startMs = nowMs();
    for (long step = 1; step <= settings.getSteps() && !stopped; step++) {
      publish(step);
      drawStep(step);
      Faults.sleepMs(settings.getTrainMs());
      long elapsed = nowMs() - startMs;
      synchronized (report) {
        report.setSteps(step).setElapsedMs(elapsed);
      }
    }
    synchronized (report) {
      report.setFinished(!stopped);
    }
  }

  private void publish(long version) {
    String path = "/publish?model=%s&version=%d".formatted(settings.getJob(), version);
    while (!stopped) {
      try {
        client.exchange(HttpCall.post(settings.getWeightStore(), path, new byte[0]));
        return;
      } catch (HttpCallException e) {
        Faults.sleepMs(RETRY_PAUSE_MS);
      }
    }
  }

  private void drawStep(long step) {
    Set<Integer> taken = new TreeSet<>();
    long startMs = nowMs();
    while (taken.size() < groupsPerStep && !stopped) {
      DrawRequest draw =
          DrawRequest.newBuilder()
              .setJob(settings.getJob())
              .setStep(step)
              .addAllTakenGroups(taken)
              .setTrainerVersion(step)
              .setTrainer(settings.getName())
              .setWaitMs(LONG_POLL_MS)
              .setDrawId(UUID.randomUUID().toString())
              .build();
      draw(draw, taken);
    }
    synchronized (report) {
      report.setIdleMs(report.getIdleMs() + nowMs() - startMs);
    }
  }

  private void draw(DrawRequest draw, Set<Integer> taken) {
    String entry = settings.getEntries(nextEntry++ % settings.getEntriesCount());
    HttpCall call =
        HttpCall.post(entry, "/v1/jobs/" + settings.getJob() + "/draw", ProtoJson.bytes(draw))
            .headers(List.of(new Header("Authorization", "Bearer " + settings.getKey())))
            .timeouts(RETRY_PAUSE_MS * 10, DRAW_TIMEOUT_MS, DRAW_TIMEOUT_MS);
    try {
      HttpResponse answer = client.exchange(call);
      if (answer.successful()) {
        recordGroups(answer.message(DrawReply.getDefaultInstance()), draw, taken);
        return;
      }
      logger.atFine().log("draw refused: %d %s", answer.status(), answer.text());
    } catch (HttpCallException e) {
      logger.atFine().log("draw failed: %s", e.getMessage());
    }
    Faults.sleepMs(RETRY_PAUSE_MS);
  }

  private void recordGroups(DrawReply reply, DrawRequest draw, Set<Integer> taken) {
    if (!reply.getDrawId().equals(draw.getDrawId())) {
      return;
    }
    for (SampleGroup group : reply.getGroupsList()) {
      boolean first = taken.add(group.getGroup());
      int missing = Math.max(0, settings.getGroupSize() - group.getSamplesCount());
      synchronized (report) {
        report.setMissing(report.getMissing() + missing);
        report.setDuplicates(report.getDuplicates() + (first ? 0 : group.getSamplesCount()));
        group.getSamplesList().forEach(s -> recordSample(s, draw));
      }
    }
  }

  private void recordSample(Sample sample, DrawRequest draw) {
    report.setSamples(report.getSamples() + 1);
    if (!samplesSeen.add(sample.getId()) || sample.getStep() != draw.getStep()) {
      report.setDuplicates(report.getDuplicates() + 1);
    }
    if (!spansMatchTokens(sample)) {
      report.setWrongVersions(report.getWrongVersions() + 1);
    }
    long oldest = sample.getSpansList().stream().mapToLong(VersionSpan::getVersion).min().orElse(0);
    if (draw.getTrainerVersion() - oldest > settings.getStalenessBound()) {
      report.setOverBound(report.getOverBound() + 1);
    }
    report.setTokens(report.getTokens() + sample.getTokensCount());
  }

  /**
   * Returns whether the spans match the version in each token's text and cover all tokens.
   *
   * <p>{@link EngineStandin} writes the token at index i of weight version V as {@code vV.i}.
   */
  static boolean spansMatchTokens(Sample sample) {
    int covered = 0;
    for (VersionSpan span : sample.getSpansList()) {
      for (int i = 0; i < span.getTokens(); i++, covered++) {
        boolean inRange = covered < sample.getTokensCount();
        if (!inRange
            || !sample.getTokens(covered).equals("v" + span.getVersion() + "." + covered)) {
          return false;
        }
      }
    }
    return covered == sample.getTokensCount() && covered > 0;
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
