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

/**
 * Selects engines for jobs, and calls engines and scoring services to load weights and to generate
 * and score samples.
 */
final class Engines {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CONNECT_TIMEOUT_MS = 500;
  private static final long PROGRESS_TIMEOUT_MS = 3_000;
  private static final long GENERATE_TIMEOUT_MS = 120_000;
  private static final long SCORE_TIMEOUT_MS = 5_000;
  private static final long LOAD_TIMEOUT_MS = 10_000;
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

  /** Requests that each engine of a job that reports another weight version load the given one. */
  void requestWeightLoads(Job job, long version) {
    usable(job).stream()
        .filter(e -> watch.loadedVersion(e.getName(), job.getModel()) != version)
        .filter(e -> loading.add(e.getName() + "/" + job.getModel()))
        .forEach(e -> threads.execute(() -> loadWeights(e, job, version)));
  }

  /**
   * Acquires a slot at an engine that has at least a given version loaded.
   *
   * <p>Engines of all zones are eligible, because for a waiting trainer the use of an idle engine
   * outweighs the cross-zone latency.
   */
  Optional<PlatformInstance> acquire(Job job, long minVersion) {
    return upstreams.acquire(
        job.getEngines(),
        ANY_ZONE,
        state.config().inFlightPerUpstream(job.getEngines()),
        e -> isSuitable(e, job, minVersion),
        clock.now());
  }

  /** Generates one sample at an engine; empty when it failed or is no longer needed. */
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
            .timeouts(CONNECT_TIMEOUT_MS, PROGRESS_TIMEOUT_MS, GENERATE_TIMEOUT_MS);
    String name = engine.getName();
    EngineStream stream =
        new EngineStream(id, clock, (n, ms) -> speeds.observe(name, n, ms, clock.now()));
    try (HttpStream response = client.open(call)) {
      Optional<Sample.Builder> sample =
          stream.read(response, () -> wanted.getAsBoolean() && !speeds.slow(name, clock.now()));
      if (response.status() != 200) {
        upstreams.recordFailure(engine, clock.now());
        return Optional.empty();
      }
      upstreams.recordSuccess(engine);
      return sample.map(s -> s.setEngine(engine.getName()));
    } catch (HttpCallException e) {
      upstreams.recordFailure(engine, clock.now());
      logger.atFine().log("generation at engine %s failed: %s", engine.getName(), e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Scores a sample.
   *
   * @return the score; empty when the call failed, after one retry if the service is idempotent
   */
  Optional<Double> score(Job job, String sampleId, Sample.Builder sample) {
    Service service = state.config().services().get(job.getScoring());
    boolean repeatable = service != null && service.getIdempotent();
    String pool =
        service == null || service.getPool().isEmpty() ? job.getScoring() : service.getPool();
    Optional<Double> score = scoreOnce(pool, sampleId, sample, repeatable);
    return score.isPresent() || !repeatable ? score : scoreOnce(pool, sampleId, sample, true);
  }

  private boolean isSuitable(PlatformInstance engine, Job job, long minVersion) {
    return watch.loadedVersion(engine.getName(), job.getModel()) >= Math.max(1, minVersion)
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
            .timeouts(CONNECT_TIMEOUT_MS, SCORE_TIMEOUT_MS, SCORE_TIMEOUT_MS);
    try {
      HttpResponse response = client.exchange(repeatable ? call : call.onFreshConnection());
      upstreams.recordSuccess(scorer.get());
      return parseScore(response, sampleId);
    } catch (HttpCallException e) {
      upstreams.recordFailure(scorer.get(), clock.now());
      return Optional.empty();
    }
  }

  private static Optional<Double> parseScore(HttpResponse response, String sampleId) {
    if (!response.successful()) {
      return Optional.empty();
    }
    ScoreReply reply = response.message(ScoreReply.getDefaultInstance());
    return reply.getSampleId().equals(sampleId) ? Optional.of(reply.getScore()) : Optional.empty();
  }

  private void loadWeights(PlatformInstance engine, Job job, long version) {
    WeightOrder order =
        WeightOrder.newBuilder()
            .setModel(job.getModel())
            .setVersion(version)
            .setStore(job.getWeightStore())
            .build();
    try {
      HttpResponse response =
          client.exchange(
              HttpCall.post(engine.getAddress(), "/weights", ProtoJson.bytes(order))
                  .timeouts(CONNECT_TIMEOUT_MS, LOAD_TIMEOUT_MS, LOAD_TIMEOUT_MS));
      if (response.successful()) {
        WeightOrderReply reply = response.message(WeightOrderReply.getDefaultInstance());
        watch.recordLoadedVersion(engine.getName(), job.getModel(), reply.getVersion());
      }
    } catch (HttpCallException e) {
      logger.atFine().log("weight load at engine %s failed: %s", engine.getName(), e.getMessage());
    } finally {
      loading.remove(engine.getName() + "/" + job.getModel());
    }
  }
}
