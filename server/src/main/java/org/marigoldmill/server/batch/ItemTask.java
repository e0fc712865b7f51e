package org.marigoldmill.server.batch;

import java.util.Optional;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.submission.GeneratedText;
import org.marigoldmill.core.submission.GiveUpRule;
import org.marigoldmill.core.submission.ItemDigest;
import org.marigoldmill.core.submission.TextSnapshot;
import org.marigoldmill.http.Cancellation;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;

/** State of an item that this instance runs, across all of its attempts. */
final class ItemTask {
  private final Submission submission;
  private final RolloutItem item;
  private final int position;
  private final boolean sendable;
  private final GeneratedText text = new GeneratedText();
  private volatile boolean running;
  private volatile boolean cancelled;
  private volatile boolean moving;
  private volatile boolean generating;
  private volatile String engineId = "";
  private volatile String engineSoftware = "";
  private volatile String engineService = "";
  private volatile long startedAtMs;
  private volatile long notBeforeMs = Long.MIN_VALUE;
  private Cancellation attemptCancellation = new Cancellation();
  private volatile double engineMsPerEvent;
  private volatile int attempts;
  private int failures;
  private final long createdAtMs;
  private volatile long firstWaitMs;
  private volatile String digest = "";
  private volatile Optional<ItemResult> finishedText = Optional.empty();

  /**
   * Creates a task without an attempt.
   *
   * @param sendable whether the item can be sent; one that a former build accepted may not be
   * @param createdAtMs current time of the clock, in milliseconds
   */
  ItemTask(
      Submission submission, RolloutItem item, int position, boolean sendable, long createdAtMs) {
    this.submission = submission;
    this.item = item;
    this.position = position;
    this.sendable = sendable;
    this.createdAtMs = createdAtMs;
  }

  Submission submission() {
    return submission;
  }

  RolloutItem item() {
    return item;
  }

  /** Returns the unique key of the item: submission id, slash, item id. */
  String key() {
    return submission.getId() + "/" + item.getId();
  }

  /** Returns whether this instance has ever started an attempt. */
  boolean hasStarted() {
    return !engineId.isEmpty();
  }

  /** Returns the position of the item among the open items of its submission. */
  int position() {
    return position;
  }

  /** Returns what tells the item from others, also in a later step. */
  String digest() {
    if (digest.isEmpty()) {
      digest = ItemDigest.of(submission, item);
    }
    return digest;
  }

  /** Goes on from a text that another run has left, from the given clock time on. */
  void resume(TextSnapshot left, long nowMs) {
    text.resume(left);
    engineService = left.service();
    notBeforeMs = nowMs;
  }

  /** Takes over the whole text of an earlier step's result, so that no engine is needed. */
  void useFinishedText(ItemResult result) {
    finishedText = Optional.of(result);
  }

  /** Returns the result of an earlier step that has the whole text, if there is one. */
  Optional<ItemResult> finishedText() {
    return finishedText;
  }

  long expectedTokens() {
    return item.getExpectedTokens();
  }

  /** Returns the number of events of the text, by the id of the last one. */
  long generatedEvents() {
    return text.lastEventId().orElse(0);
  }

  /**
   * Returns about how long the item will still occupy a slot of an engine, in milliseconds.
   *
   * @param msPerToken slot time for an expected token, in milliseconds
   */
  double remainingSlotMs(double msPerToken, long nowMs) {
    double totalMs = msPerToken * Math.max(1, expectedTokens());
    return running ? Math.max(0, totalMs - (nowMs - startedAtMs)) : totalMs;
  }

  GeneratedText text() {
    return text;
  }

  boolean canStart(long nowMs) {
    return sendable && !running && !cancelled && notBeforeMs <= nowMs;
  }

  boolean running() {
    return running;
  }

  /** Returns whether only the score is missing. */
  boolean textComplete() {
    return finishedText.isPresent() || text.complete();
  }

  /** Marks the work that is left once the text is finished as started. */
  synchronized void startScoring() {
    attemptCancellation = new Cancellation();
    if (cancelled) {
      attemptCancellation.cancel();
    }
    moving = false;
    generating = false;
    running = true;
  }

  /** Returns whether an engine is generating the text. */
  boolean generating() {
    return running && generating;
  }

  /** Marks an attempt as started at the given clock time, in milliseconds. */
  synchronized void startAttempt(Engine engine, long nowMs) {
    attemptCancellation = new Cancellation();
    engineId = engine.id();
    engineSoftware = engine.softwareVersion();
    engineService = engine.service();
    startedAtMs = nowMs;
    engineMsPerEvent = 0;
    moving = false;
    if (attempts == 0) {
      firstWaitMs = nowMs - createdAtMs;
    }
    attempts++;
    generating = true;
    running = true;
  }

  /** Returns the time from creation to the first attempt, in milliseconds. */
  long firstWaitMs() {
    return firstWaitMs;
  }

  /** Returns the number of attempts that have been started. */
  int attempts() {
    return attempts;
  }

  /** Returns the engine of the current or last attempt, or an empty string. */
  String engineId() {
    return engineId;
  }

  /** Returns the time for an event in the last attempt, in milliseconds; 0 if not measured. */
  double engineMsPerEvent() {
    return engineMsPerEvent;
  }

  void recordEngineMsPerEvent(double ms) {
    engineMsPerEvent = ms;
  }

  /** Returns the software version of the engine of the current or last attempt. */
  String engineSoftware() {
    return engineSoftware;
  }

  /** Returns the service of the engine of the current or last attempt. */
  String engineService() {
    return engineService;
  }

  /** Returns the service whose engines generated the text so far, or empty without a text. */
  Optional<String> textService() {
    return text.lastEventId().isPresent() ? Optional.of(engineService) : Optional.empty();
  }

  /** Returns whether an engine cannot continue the text, so that it must begin it anew. */
  boolean mustRestartAt(Engine engine) {
    return textService().filter(s -> !s.equals(engine.service())).isPresent()
        || text.softwareVersion().filter(v -> !v.equals(engine.softwareVersion())).isPresent();
  }

  /** Returns for how long the item could have been started, in milliseconds. */
  long waitedMs(long nowMs) {
    return notBeforeMs == Long.MIN_VALUE ? 0 : Math.max(0, nowMs - notBeforeMs);
  }

  long startedAtMs() {
    return startedAtMs;
  }

  /** Returns whether the attempt was cancelled to continue the item on another engine. */
  boolean moving() {
    return moving;
  }

  /** Cancels the attempt in progress, so that the item continues on another engine. */
  synchronized void move() {
    moving = true;
    attemptCancellation.cancel();
  }

  /** Ends an attempt; the next one may start from the given clock time, in milliseconds. */
  void endAttempt(long retryAtMs) {
    notBeforeMs = retryAtMs;
    running = false;
  }

  boolean cancelled() {
    return cancelled;
  }

  /** Counts a failed run; returns whether the failure limit of the item is reached. */
  boolean recordFailure() {
    failures++;
    return GiveUpRule.itemAttemptsExhausted(failures, submission.getMaxAttempts());
  }

  /** Returns the handle that cancels the current or last attempt. */
  synchronized Cancellation attemptCancellation() {
    return attemptCancellation;
  }

  /** Cancels the item and the attempt in progress. */
  synchronized void cancel() {
    cancelled = true;
    attemptCancellation.cancel();
  }
}
