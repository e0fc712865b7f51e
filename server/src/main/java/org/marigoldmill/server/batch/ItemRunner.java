package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.placement.EngineLoads;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.core.submission.EventReader;
import org.marigoldmill.core.submission.GeneratedEvent;
import org.marigoldmill.core.submission.GeneratedText;
import org.marigoldmill.core.submission.GiveUpRule;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.http.CallFailure;
import org.marigoldmill.http.Cancellation;
import org.marigoldmill.http.HttpAnswer;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RewardCall;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.Pause;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.UpstreamProtocol;
import org.marigoldmill.server.gateway.Forwarder;
import org.marigoldmill.server.gateway.UpstreamSender;
import org.marigoldmill.server.store.PartitionReplica;

/** Runs one attempt of an item at an engine, scores a whole text and stores the result. */
final class ItemRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CHUNK_BYTES = 8 * 1024;
  private static final long SILENCE_MS = 1_200;
  private static final long RUN_MS = 20_000;
  private static final long RETRY_MS = 30;
  private static final long REWARD_DEADLINE_MS = 1_500;
  private static final long REWARD_PAUSE_MS = 60;
  private static final long COMMIT_MS = 5_000;

  private final DeploymentState deployment;
  private final EngineLoads loads;
  private final EngineVersions versions;
  private final UpstreamSender sender;
  private final Forwarder forwarder;
  private final SubmissionPartitions partitions;
  private final Metrics metrics;
  private final Clock clock;

  ItemRunner(
      DeploymentState deployment,
      EngineLoads loads,
      EngineVersions versions,
      UpstreamSender sender,
      Forwarder forwarder,
      SubmissionPartitions partitions,
      Metrics metrics,
      Clock clock) {
    this.deployment = deployment;
    this.loads = loads;
    this.versions = versions;
    this.sender = sender;
    this.forwarder = forwarder;
    this.partitions = partitions;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Runs an attempt at an engine whose place has been taken; never throws. */
  void run(ItemTask task, Engine engine) {
    boolean whole = false;
    try {
      whole = generate(task, engine);
    } catch (CallFailure e) {
      if (!task.moving() && !task.cancelled()) {
        loads.failed(engine.id(), clock.now());
      }
      ended(task, engine, "lost " + e.reason());
    } catch (RuntimeException e) {
      loads.failed(engine.id(), clock.now());
      ended(task, engine, e.toString());
    } finally {
      loads.release(engine.id());
    }
    try {
      if (whole && !task.cancelled()) {
        complete(task);
      }
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("item result id=%s", task.item().getId());
    } finally {
      task.paused(task.moving() ? clock.now() : clock.now() + RETRY_MS);
      partitions.notifyChanged();
    }
  }

  /** Returns whether the text is whole. */
  private boolean generate(ItemTask task, Engine engine) {
    RolloutItem item = task.item();
    GeneratedText text = task.text();
    UpstreamProtocol.Attempt attempt =
        new UpstreamProtocol.Attempt(
            item.getId(),
            engine.id(),
            task.submission().getHost(),
            "POST",
            item.getPath(),
            item.getHeadersList().stream()
                .map(h -> new HttpCall.Header(h.getName(), h.getValue()))
                .toList(),
            item.getBody().toByteArray(),
            Optional.of(task.submission().getOrganisation()),
            text.lastEvent(),
            RUN_MS);
    HttpCall call =
        sender
            .protocol()
            .attemptCall(engine.address(), attempt)
            .timeouts(UpstreamSender.CONNECT_MS, SILENCE_MS, RUN_MS)
            .cancelledBy(task.attempt());
    try (HttpStream stream = sender.open(call, attempt)) {
      return take(task, engine, stream);
    }
  }

  private boolean take(ItemTask task, Engine engine, HttpStream stream) {
    if (stream.status() != 200) {
      unusable(task, engine, stream);
      return false;
    }
    Submission submission = task.submission();
    String model = submission.getModel();
    long version = sender.protocol().weightVersion(stream.headers()).orElse(0);
    versions.seen(engine.id(), model, version);
    GeneratedText text = task.text();
    if (version < submission.getMinVersion()) {
      loads.refused(engine.id(), clock.now());
      ended(task, engine, "version " + version + " under " + submission.getMinVersion());
      return false;
    }
    if (submission.getSingleVersion() && mixes(text, version)) {
      text.restart();
      ended(task, engine, "version " + version + " after " + text.versions());
      return false;
    }
    text.startRun(version);
    return read(task, engine, stream);
  }

  private static boolean mixes(GeneratedText text, long version) {
    return !text.versions().isEmpty() && !text.versions().equals(List.of(version));
  }

  private boolean read(ItemTask task, Engine engine, HttpStream stream) {
    EventReader reader = new EventReader(sender.protocol().versionField());
    byte[] chunk = new byte[CHUNK_BYTES];
    final long startedAt = clock.now();
    long lastAt = startedAt;
    int events = 0;
    for (int n = stream.read(chunk); n >= 0; n = stream.read(chunk)) {
      List<GeneratedEvent> fresh = reader.read(chunk, n);
      if (!fresh.isEmpty()) {
        long now = clock.now();
        boolean loaded = fresh.stream().anyMatch(e -> e.version().isPresent());
        if (events > 0 && !loaded) {
          loads.progressed(engine.id(), Math.max(1.0, (double) (now - lastAt) / fresh.size()));
        }
        lastAt = now;
      }
      for (GeneratedEvent event : fresh) {
        task.text().append(event);
        event.version().ifPresent(v -> versions.seen(engine.id(), task.submission().getModel(), v));
        events++;
      }
    }
    long took = clock.now() - startedAt;
    boolean whole = !reader.inside() && task.text().lastEvent().isPresent();
    if (!whole) {
      ended(task, engine, "stream ended inside an event");
      return false;
    }
    boolean split = task.submission().getSingleVersion() && task.text().versions().size() > 1;
    logger.atInfo().log(
        "item generated id=%s submission=%s engine=%s events=%d versions=%s ms=%d",
        task.item().getId(),
        task.submission().getId(),
        engine.id(),
        events,
        task.text().versions(),
        took);
    if (split) {
      task.text().restart();
    }
    return !split;
  }

  private void unusable(ItemTask task, Engine engine, HttpStream stream) {
    int status = stream.status();
    long now = clock.now();
    if (sender.protocol().notRun(status, stream.headers())) {
      loads.refused(engine.id(), now);
    } else if (status == 422) {
      giveUp(task, "the engine cannot do it");
    } else if (status == 500) {
      if (task.failed()) {
        giveUp(task, "it failed at each run");
      }
    } else {
      loads.failed(engine.id(), now);
    }
    ended(task, engine, "status " + status);
  }

  private void ended(ItemTask task, Engine engine, String why) {
    logger.atInfo().log(
        "item attempt ended id=%s submission=%s engine=%s last_event=%s cancelled=%s moving=%s"
            + " cause=%s",
        task.item().getId(),
        task.submission().getId(),
        engine.id(),
        last(task.text().lastEvent()),
        task.cancelled(),
        task.moving(),
        why);
  }

  private static String last(OptionalLong event) {
    return event.isPresent() ? Long.toString(event.getAsLong()) : "none";
  }

  private void complete(ItemTask task) {
    Optional<String> score = task.item().hasReward() ? score(task) : Optional.of("");
    if (score.isEmpty()) {
      return;
    }
    ItemResult result =
        result(task)
            .setCompleted(true)
            .setText(task.text().text())
            .addAllVersions(task.text().versions())
            .setScore(score.get())
            .build();
    store(task, result);
  }

  /** Returns the score, or empty when the item was given up or cancelled. */
  private Optional<String> score(ItemTask task) {
    int failures = 0;
    while (!task.cancelled()) {
      Forwarder.Outcome outcome = reward(task.item().getReward());
      Optional<String> proof =
          outcome
              .answer()
              .filter(HttpAnswer::successful)
              .flatMap(a -> sender.protocol().proof(a.headers()));
      if (proof.isPresent()) {
        return proof;
      }
      failures += outcome.failures();
      logger.atInfo().log(
          "reward failed id=%s item=%s failures=%d kind=%s status=%s",
          task.item().getReward().getId(),
          task.item().getId(),
          failures,
          outcome.kind(),
          outcome.answer().map(HttpAnswer::status).orElse(0));
      int itemAttempts = task.submission().getMaxAttempts();
      int rewardAttempts = rewardRoute(task.item().getReward()).map(Route::maxAttempts).orElse(0);
      if (GiveUpRule.rewardFailed(failures, itemAttempts, rewardAttempts)) {
        giveUp(task, "its reward call failed at each run");
        return Optional.empty();
      }
      Pause.millis(REWARD_PAUSE_MS);
    }
    return Optional.empty();
  }

  private Forwarder.Outcome reward(RewardCall reward) {
    Optional<Route> route = rewardRoute(reward);
    if (route.isEmpty()) {
      return new Forwarder.Outcome(Optional.empty(), ErrorKind.NOT_FOUND, false, 0, 0, "");
    }
    return forwarder.forward(
        new Forwarder.Request(
            reward.getId(),
            route.get(),
            route.get().service(reward.getId()),
            reward.getHost(),
            "POST",
            reward.getPath(),
            List.of(),
            reward.getBody().toByteArray(),
            Optional.empty(),
            clock.now() + REWARD_DEADLINE_MS,
            new Cancellation()));
  }

  private Optional<Route> rewardRoute(RewardCall reward) {
    return deployment.config().flatMap(c -> c.route(reward.getHost(), reward.getPath()));
  }

  private void giveUp(ItemTask task, String why) {
    logger.atInfo().log(
        "item given up id=%s submission=%s cause=%s",
        task.item().getId(), task.submission().getId(), why);
    store(task, result(task).build());
  }

  private static ItemResult.Builder result(ItemTask task) {
    return ItemResult.newBuilder()
        .setSubmissionId(task.submission().getId())
        .setItemId(task.item().getId());
  }

  /** Stores a result, however long the store is away, unless the item is cancelled. */
  private void store(ItemTask task, ItemResult result) {
    PartitionReplica replica = partitions.replicaFor(result.getSubmissionId());
    PartitionReplica.Result stored = PartitionReplica.Result.NOT_DONE;
    while (stored != PartitionReplica.Result.HOLDS && !task.cancelled()) {
      stored = replica.commit(s -> s.finish(result), COMMIT_MS).join();
      if (stored != PartitionReplica.Result.HOLDS) {
        Pause.millis(REWARD_PAUSE_MS);
      }
    }
    metrics.sample(
        task.submission().getModel(), result.getCompleted() ? "completed" : "given-up", 1);
    logger.atInfo().log(
        "item stored id=%s submission=%s completed=%s outcome=%s",
        result.getItemId(), result.getSubmissionId(), result.getCompleted(), stored);
  }
}
