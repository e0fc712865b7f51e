package org.marigoldmill.server.rollout;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.function.BooleanSupplier;
import org.marigoldmill.core.rollout.EngineSpeeds;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.declaration.Job;
import org.marigoldmill.schema.declaration.Service;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.schema.upstream.GenerateRequest;
import org.marigoldmill.schema.upstream.Sample;
import org.marigoldmill.schema.upstream.ScoreReply;
import org.marigoldmill.schema.upstream.ScoreRequest;
import org.marigoldmill.schema.upstream.WeightOrder;
import org.marigoldmill.schema.upstream.WeightOrderReply;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.state.EngineWatch;
import org.marigoldmill.server.state.SharedState;

/** What a job asks of engines and scoring services. */
final class Engines {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CONNECT_MS = 500;
  private static final long PROGRESS_MS = 3_000;
  private static final long GENERATE_MS = 120_000;
  private static final long SCORE_MS = 5_000;
  private static final long LOAD_MS = 10_000;
  private static final String ANY_ZONE = "";

  private final UpstreamTable upstreams;
  private final EngineWatch watch;
  private final HttpClient client;
  private final SharedState state;
  private final ExecutorService threads;
  private final Clock clock;
  private final String zone;
  private final EngineSpeeds speeds = new EngineSpeeds();
  private final Set<String> loading = ConcurrentHashMap.newKeySet();

  Engines(
      UpstreamTable upstreams,
      EngineWatch watch,
      HttpClient client,
      SharedState state,
      ExecutorService threads,
      Clock clock,
      String zone) {
    this.upstreams = upstreams;
    this.watch = watch;
    this.client = client;
    this.state = state;
    this.threads = threads;
    this.clock = clock;
    this.zone = zone;
  }

  /** Returns the engines that a job may use. */
  List<PlatformInstance> usable(Job job) {
    return upstreams.usable(job.getEngines());
  }

  /** Orders every engine of a job that is behind a version to load it. */
  void switchTo(Job job, long version) {
    usable(job).stream()
        .filter(e -> watch.version(e.getName(), job.getModel()) != version)
        .filter(e -> loading.add(e.getName() + "/" + job.getModel()))
        .forEach(e -> threads.execute(() -> load(e, job, version)));
  }

  /**
   * Takes a place at an engine that has at least a version loaded.
   *
   * <p>Samples may come from every zone, because an engine that idles in another one is worth more
   * to a waiting trainer than the way there.
   */
  Optional<PlatformInstance> acquire(Job job, long minVersion) {
    return upstreams.acquire(
        job.getEngines(),
        ANY_ZONE,
        state.config().inFlightPerUpstream(job.getEngines()),
        e -> suits(e, job, minVersion),
        clock.now());
  }

  /** Generates one sample at an engine; empty when it failed or is not wanted any more. */
  Optional<Sample.Builder> generate(
      PlatformInstance engine, Job job, String prompt, long seed, BooleanSupplier wanted) {
    String id = UUID.randomUUID().toString();
    GenerateRequest request =
        GenerateRequest.newBuilder()
            .setRequestId(id)
            .setModel(job.getModel())
            .setPrompt(prompt)
            .setMaxTokens(job.getMaxTokens())
            .setSeed(seed)
            .build();
    HttpCall call =
        HttpCall.post(engine.getAddress(), "/generate", ProtoJson.bytes(request))
            .headers(List.of(new Header("X-Organisation", job.getOrganisation())))
            .timeouts(CONNECT_MS, PROGRESS_MS, GENERATE_MS);
    String name = engine.getName();
    EngineStream stream =
        new EngineStream(id, clock, (n, ms) -> speeds.observe(name, n, ms, clock.now()));
    try (HttpStream answer = client.open(call)) {
      Optional<Sample.Builder> sample =
          stream.read(answer, () -> wanted.getAsBoolean() && !speeds.slow(name, clock.now()));
      if (answer.status() != 200) {
        upstreams.recordFailure(engine, clock.now());
        return Optional.empty();
      }
      upstreams.recordSuccess(engine);
      return sample.map(s -> s.setEngine(engine.getName()));
    } catch (HttpCallException e) {
      upstreams.recordFailure(engine, clock.now());
      logger.atFine().log("generation at %s: %s", engine.getName(), e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Scores a sample.
   *
   * @return the score; empty when it failed, or was lost by a service whose calls may not be
   *     repeated
   */
  Optional<Double> score(Job job, String sampleId, Sample.Builder sample) {
    Service service = state.config().services().get(job.getScoring());
    boolean repeatable = service != null && service.getIdempotent();
    String pool =
        service == null || service.getPool().isEmpty() ? job.getScoring() : service.getPool();
    Optional<Double> score = scoreOnce(pool, sampleId, sample, repeatable);
    return score.isPresent() || !repeatable ? score : scoreOnce(pool, sampleId, sample, true);
  }

  private boolean suits(PlatformInstance engine, Job job, long minVersion) {
    return watch.version(engine.getName(), job.getModel()) >= Math.max(1, minVersion)
        && !speeds.slow(engine.getName(), clock.now());
  }

  private Optional<Double> scoreOnce(
      String pool, String sampleId, Sample.Builder sample, boolean repeatable) {
    Optional<PlatformInstance> scorer =
        upstreams.acquire(
            pool, zone, state.config().inFlightPerUpstream(pool), i -> true, clock.now());
    if (scorer.isEmpty()) {
      return Optional.empty();
    }
    ScoreRequest request =
        ScoreRequest.newBuilder()
            .setSampleId(sampleId)
            .setText(String.join(" ", sample.getTokensList()))
            .build();
    HttpCall call =
        HttpCall.post(scorer.get().getAddress(), "/score", ProtoJson.bytes(request))
            .timeouts(CONNECT_MS, SCORE_MS, SCORE_MS);
    try {
      HttpResponse answer = client.exchange(repeatable ? call : call.onFreshConnection());
      upstreams.recordSuccess(scorer.get());
      return scoreIn(answer, sampleId);
    } catch (HttpCallException e) {
      upstreams.recordFailure(scorer.get(), clock.now());
      return Optional.empty();
    }
  }

  private static Optional<Double> scoreIn(HttpResponse answer, String sampleId) {
    if (!answer.successful()) {
      return Optional.empty();
    }
    ScoreReply reply = answer.message(ScoreReply.getDefaultInstance());
    return reply.getSampleId().equals(sampleId) ? Optional.of(reply.getScore()) : Optional.empty();
  }

  private void load(PlatformInstance engine, Job job, long version) {
    WeightOrder order =
        WeightOrder.newBuilder()
            .setModel(job.getModel())
            .setVersion(version)
            .setStore(job.getWeightStore())
            .build();
    try {
      HttpResponse answer =
          client.exchange(
              HttpCall.post(engine.getAddress(), "/weights", ProtoJson.bytes(order))
                  .timeouts(CONNECT_MS, LOAD_MS, LOAD_MS));
      if (answer.successful()) {
        WeightOrderReply reply = answer.message(WeightOrderReply.getDefaultInstance());
        watch.loaded(engine.getName(), job.getModel(), reply.getVersion());
      }
    } catch (HttpCallException e) {
      logger.atFine().log("load at %s: %s", engine.getName(), e.getMessage());
    } finally {
      loading.remove(engine.getName() + "/" + job.getModel());
    }
  }
}
