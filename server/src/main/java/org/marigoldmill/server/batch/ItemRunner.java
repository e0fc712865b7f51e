package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.placement.EngineLoads;
import org.marigoldmill.core.placement.EngineTimes;
import org.marigoldmill.core.placement.RunLengths;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.core.submission.EventReader;
import org.marigoldmill.core.submission.GeneratedEvent;
import org.marigoldmill.core.submission.GeneratedText;
import org.marigoldmill.core.submission.GiveUpRule;
import org.marigoldmill.core.submission.RewardTimeout;
import org.marigoldmill.core.submission.StallDetector;
import org.marigoldmill.core.supply.SlotTimes;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RewardCall;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.Pause;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.RegionRules;
import org.marigoldmill.server.deployment.UpstreamProtocol;
import org.marigoldmill.server.gateway.Forwarder;
import org.marigoldmill.server.gateway.UpstreamSender;
import org.marigoldmill.server.store.PartitionReplica;

/** Runs an attempt of an item on an engine; scores a complete text and stores the result. */
final class ItemRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int READ_BUFFER_BYTES = 8 * 1024;
  private static final long IDLE_TIMEOUT_MS = 1_200;
  private static final long ATTEMPT_TIMEOUT_MS = 20_000;

  /** Longer than the pause of a run whose engine loads weights beside many others. */
  private static final long MAX_EVENT_GAP_MS = 4_000;

  private static final long ATTEMPT_RETRY_DELAY_MS = 30;
  private static final long RESULT_RETRY_DELAY_MS = 60;
  private static final long COMMIT_TIMEOUT_MS = 5_000;

  private final DeploymentState deployment;
  private final RegionRules regions;
  private final EngineLoads loads;
  private final RunLengths lengths;
  private final SlotTimes slotTimes;
  private final EngineVersions versions;
  private final UpstreamSender sender;
  private final Forwarder forwarder;
  private final SubmissionPartitions partitions;
  private final Metrics metrics;
  private final Clock clock;

  ItemRunner(
      DeploymentState deployment,
      RegionRules regions,
      EngineLoads loads,
      RunLengths lengths,
      SlotTimes slotTimes,
      EngineVersions versions,
      UpstreamSender sender,
      Forwarder forwarder,
      SubmissionPartitions partitions,
      Metrics metrics,
      Clock clock) {
    this.deployment = deployment;
    this.regions = regions;
    this.loads = loads;
    this.lengths = lengths;
    this.slotTimes = slotTimes;
    this.versions = versions;
    this.sender = sender;
    this.forwarder = forwarder;
    this.partitions = partitions;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Runs an attempt on an engine whose slot is acquired, and releases the slot; never throws. */
  void run(ItemTask task, Engine engine) {
    boolean complete = false;
    final long acquiredAtMs = clock.now();
    try {
      complete = generate(task, engine);
    } catch (HttpCallException e) {
      if (!task.moving() && !task.cancelled()) {
        recordFailedCall(engine, e);
      }
      logAttemptEnded(task, engine, "call failed: " + e.reason());
    } catch (RuntimeException e) {
      loads.recordFailure(engine.id(), clock.now());
      logAttemptEnded(task, engine, e.toString());
    } finally {
      loads.release(engine.id());
      slotTimes.recordAttempt(task.submission().getModel(), clock.now() - acquiredAtMs);
    }
    if (complete) {
      loads.recordCompleted(engine.id());
      slotTimes.recordCompleted(task.submission().getModel(), task.expectedTokens());
    }
    try {
      if (complete && !task.cancelled()) {
        scoreAndStore(task);
      }
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log(
          "item result not stored, will retry id=%s", task.item().getId());
    } finally {
      task.endAttempt(task.moving() ? clock.now() : clock.now() + ATTEMPT_RETRY_DELAY_MS);
      partitions.notifyChanged();
    }
  }

  /** Scores and stores an item whose text is complete; never throws. */
  void finish(ItemTask task) {
    try {
      scoreAndStore(task);
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log(
          "item result not stored, will retry id=%s", task.item().getId());
    } finally {
      task.endAttempt(clock.now() + ATTEMPT_RETRY_DELAY_MS);
      partitions.notifyChanged();
    }
  }

  private void recordFailedCall(Engine engine, HttpCallException failure) {
    switch (failure.reason()) {
      case CONNECT, SILENT -> loads.recordUnanswered(engine.id(), clock.now());
      default -> loads.recordFailure(engine.id(), clock.now());
    }
  }

  /** Returns whether the text is complete. */
  private boolean generate(ItemTask task, Engine engine) {
    RolloutItem item = task.item();
    GeneratedText text = task.text();
    UpstreamProtocol.Attempt attempt =
        new UpstreamProtocol.Attempt(
            item.getId(),
            engine.id(),
            engine.incarnation(),
            task.submission().getHost(),
            "POST",
            item.getPath(),
            item.getHeadersList().stream()
                .map(h -> new HttpCall.Header(h.getName(), h.getValue()))
                .toList(),
            item.getBody().toByteArray(),
            Optional.of(task.submission().getOrganisation()),
            text.lastEventId(),
            ATTEMPT_TIMEOUT_MS,
            Optional.empty());
    HttpCall call =
        sender
            .protocol()
            .attemptCall(engine.address(), attempt)
            .timeouts(UpstreamSender.CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS)
            .cancellation(task.attemptCancellation());
    try (HttpStream stream = sender.open(call, attempt)) {
      return readAnswer(task, engine, stream);
    }
  }

  private boolean readAnswer(ItemTask task, Engine engine, HttpStream stream) {
    if (stream.status() != 200) {
      recordErrorStatus(task, engine, stream);
      return false;
    }
    if (!stream.mayBeEventStream()) {
      loads.recordFailure(engine.id(), clock.now());
      logAttemptEnded(task, engine, "answer is no event stream");
      return false;
    }
    Submission submission = task.submission();
    String model = submission.getModel();
    long version = sender.protocol().weightVersion(stream.headers()).orElse(0);
    versions.recordReportedVersion(engine.id(), model, version);
    GeneratedText text = task.text();
    if (version == 0 && text.lastEventId().isPresent()) {
      // Nothing may have been left to generate; an empty answer does not prove that.
      text.restart();
      logAttemptEnded(task, engine, "no version in the answer of a resumed run, begun anew");
      return false;
    }
    if (version < submission.getMinVersion()) {
      loads.recordRefusal(engine.id(), clock.now());
      logAttemptEnded(
          task,
          engine,
          "version " + version + " is older than minimum version " + submission.getMinVersion());
      return false;
    }
    if (submission.getSingleVersion() && wouldMixVersions(text, version)) {
      text.restart();
      logAttemptEnded(
          task, engine, "version " + version + " differs from earlier versions " + text.versions());
      return false;
    }
    text.startRun(version, engine.softwareVersion());
    return readEvents(task, engine, stream);
  }

  private static boolean wouldMixVersions(GeneratedText text, long version) {
    return !text.versions().isEmpty() && !text.versions().equals(List.of(version));
  }

  private boolean readEvents(ItemTask task, Engine engine, HttpStream stream) {
    EventReader reader = new EventReader(sender.protocol().versionField());
    byte[] buffer = new byte[READ_BUFFER_BYTES];
    final long startedAtMs = clock.now();
    long firstEventAtMs = startedAtMs;
    int firstEvents = 0;
    long lastEventAtMs = startedAtMs;
    StallDetector stall = new StallDetector(MAX_EVENT_GAP_MS, startedAtMs);
    int events = 0;
    for (int n = stream.read(buffer); n >= 0; n = stream.read(buffer)) {
      List<GeneratedEvent> newEvents = reader.read(buffer, n);
      if (!newEvents.isEmpty()) {
        long now = clock.now();
        boolean versionChanged = newEvents.stream().anyMatch(e -> e.version().isPresent());
        if (events > 0 && !versionChanged) {
          loads.recordProgress(
              engine.id(), Math.max(1.0, (double) (now - lastEventAtMs) / newEvents.size()));
        }
        if (events == 0) {
          firstEventAtMs = now;
          firstEvents = newEvents.size();
        }
        lastEventAtMs = now;
      }
      if (stall.stalledAfter(newEvents.size(), clock.now())) {
        throw HttpCallException.stalled(engine.id());
      }
      for (GeneratedEvent event : newEvents) {
        task.text().append(event);
        event
            .version()
            .ifPresent(
                v -> versions.recordReportedVersion(engine.id(), task.submission().getModel(), v));
        events++;
      }
    }
    int timedEvents = events - firstEvents;
    if (timedEvents >= EngineTimes.MIN_EVENTS) {
      task.recordEngineMsPerEvent((double) (lastEventAtMs - firstEventAtMs) / timedEvents);
    }
    long durationMs = clock.now() - startedAtMs;
    boolean complete = !reader.hasPartialEvent() && task.text().lastEventId().isPresent();
    if (!complete) {
      logAttemptEnded(task, engine, "stream ended inside an event or without one");
      return false;
    }
    String model = task.submission().getModel();
    final long estimatedEvents = lengths.remainingEvents(model, task.expectedTokens(), 0);
    lengths.recordEnded(model, task.expectedTokens(), task.generatedEvents());
    boolean mixedVersions =
        task.submission().getSingleVersion() && task.text().versions().size() > 1;
    logger.atInfo().log(
        "item generated id=%s submission=%s engine=%s software=%s events=%d versions=%s ms=%d"
            + " whole=%d estimate=%d attempts=%d waited_ms=%d",
        task.item().getId(),
        task.submission().getId(),
        engine.id(),
        engine.softwareVersion(),
        events,
        task.text().versions(),
        durationMs,
        task.generatedEvents(),
        estimatedEvents,
        task.attempts(),
        task.firstWaitMs());
    if (mixedVersions) {
      task.text().restart();
      return false;
    }
    task.text().markComplete();
    return true;
  }

  private void recordErrorStatus(ItemTask task, Engine engine, HttpStream stream) {
    int status = stream.status();
    long now = clock.now();
    if (sender.protocol().notRun(status, stream.headers())) {
      loads.recordRefusal(engine.id(), now);
    } else if (status == 422) {
      giveUp(task, "engine rejected the item with status 422");
    } else if (status == 500) {
      if (task.recordFailure()) {
        giveUp(task, "maximum number of failed runs reached");
      }
    } else {
      loads.recordFailure(engine.id(), now);
    }
    logAttemptEnded(task, engine, "status " + status);
  }

  private void logAttemptEnded(ItemTask task, Engine engine, String cause) {
    logger.atInfo().log(
        "item attempt ended id=%s submission=%s engine=%s last_event=%s cancelled=%s moving=%s"
            + " cause=%s",
        task.item().getId(),
        task.submission().getId(),
        engine.id(),
        eventIdOrNone(task.text().lastEventId()),
        task.cancelled(),
        task.moving(),
        cause);
  }

  private static String eventIdOrNone(OptionalLong event) {
    return event.isPresent() ? Long.toString(event.getAsLong()) : "none";
  }

  private void scoreAndStore(ItemTask task) {
    task.startScoring();
    Optional<String> score = task.item().hasReward() ? score(task) : Optional.of("");
    if (score.isEmpty()) {
      return;
    }
    ItemResult.Builder result =
        task.finishedText()
            .map(
                earlier ->
                    resultBuilder(task)
                        .setText(earlier.getText())
                        .addAllVersions(earlier.getVersionsList()))
            .orElseGet(
                () ->
                    resultBuilder(task)
                        .setText(task.text().text())
                        .addAllVersions(task.text().versions())
                        .setEngine(task.engineId())
                        .setMsPerEvent(task.engineMsPerEvent()));
    storeResult(
        task, result.setCompleted(true).setScore(score.get()).setItemDigest(task.digest()).build());
  }

  /** Returns the score, or empty if the item has been given up or cancelled. */
  private Optional<String> score(ItemTask task) {
    int failures = 0;
    int unanswered = 0;
    while (!task.cancelled()) {
      Forwarder.Outcome outcome = callReward(task, unanswered);
      Optional<String> proof =
          outcome
              .response()
              .filter(HttpResponse::successful)
              .flatMap(a -> sender.protocol().proof(a.headers()));
      if (proof.isPresent()) {
        return proof;
      }
      failures += outcome.failures();
      if (ranOutOfTime(outcome)) {
        unanswered++;
      }
      logger.atInfo().log(
          "reward failed id=%s item=%s failures=%d unanswered=%d kind=%s status=%s",
          task.item().getReward().getId(),
          task.item().getId(),
          failures,
          unanswered,
          outcome.kind(),
          outcome.response().map(HttpResponse::status).orElse(0));
      int itemAttempts = task.submission().getMaxAttempts();
      int rewardAttempts = rewardRoute(task.item().getReward()).map(Route::maxAttempts).orElse(0);
      if (GiveUpRule.rewardAttemptsExhausted(failures, itemAttempts, rewardAttempts)) {
        giveUp(task, "maximum number of failed reward calls reached");
        return Optional.empty();
      }
      Pause.millis(RESULT_RETRY_DELAY_MS);
    }
    return Optional.empty();
  }

  /** Returns whether the time limit ended an attempt, here or at the upstream, which is told it. */
  private static boolean ranOutOfTime(Forwarder.Outcome outcome) {
    int timeout = ErrorKind.UPSTREAM_SILENT.status();
    return outcome.kind() == ErrorKind.UPSTREAM_SILENT
        || outcome.response().filter(r -> r.status() == timeout).isPresent();
  }

  /** Makes one attempt, so that each can get more time than the one before. */
  private Forwarder.Outcome callReward(ItemTask task, int unanswered) {
    RewardCall reward = task.item().getReward();
    Optional<Route> route = rewardRoute(reward).map(r -> r.withMaxAttempts(1));
    if (route.isEmpty()) {
      return new Forwarder.Outcome(Optional.empty(), ErrorKind.NOT_FOUND, false, 0, 0, "", 0);
    }
    return forwarder.forward(
        new Forwarder.Request(
            reward.getId(),
            route.get(),
            route.get().chooseService(reward.getId()),
            reward.getHost(),
            "POST",
            reward.getPath(),
            List.of(),
            reward.getBody().toByteArray(),
            Optional.empty(),
            Urgency.BACKGROUND,
            clock.now() + RewardTimeout.attemptMs(route.get().timeoutMs(), unanswered),
            task.attemptCancellation(),
            Optional.empty(),
            regions.zones(route.get(), task.submission().getOrganisation())));
  }

  private Optional<Route> rewardRoute(RewardCall reward) {
    return deployment.config().flatMap(c -> c.route(reward.getHost(), reward.getPath()));
  }

  private void giveUp(ItemTask task, String cause) {
    logger.atInfo().log(
        "item given up id=%s submission=%s cause=%s",
        task.item().getId(), task.submission().getId(), cause);
    storeResult(task, resultBuilder(task).build());
  }

  private static ItemResult.Builder resultBuilder(ItemTask task) {
    return ItemResult.newBuilder()
        .setSubmissionId(task.submission().getId())
        .setItemId(task.item().getId());
  }

  /** Stores a result, retrying until the store accepts it or the item is cancelled. */
  private void storeResult(ItemTask task, ItemResult result) {
    PartitionReplica replica = partitions.replicaFor(result.getSubmissionId());
    PartitionReplica.Result outcome = PartitionReplica.Result.NOT_DONE;
    while (outcome != PartitionReplica.Result.HOLDS && !task.cancelled()) {
      outcome = replica.commit(s -> s.resultRecords(result), COMMIT_TIMEOUT_MS).join();
      if (outcome != PartitionReplica.Result.HOLDS) {
        Pause.millis(RESULT_RETRY_DELAY_MS);
      }
    }
    metrics.recordSamples(
        task.submission().getModel(), result.getCompleted() ? "completed" : "given-up", 1);
    logger.atInfo().log(
        "item stored id=%s submission=%s completed=%s outcome=%s",
        result.getItemId(), result.getSubmissionId(), result.getCompleted(), outcome);
  }
}
