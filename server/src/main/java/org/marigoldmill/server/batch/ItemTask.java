package org.marigoldmill.server.batch;

import org.marigoldmill.core.submission.GeneratedText;
import org.marigoldmill.core.submission.GiveUpRule;
import org.marigoldmill.http.Cancellation;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;

/** One item that this instance runs, over all of its attempts. */
final class ItemTask {
  private final Submission submission;
  private final RolloutItem item;
  private final int index;
  private final GeneratedText text = new GeneratedText();
  private volatile boolean running;
  private volatile boolean cancelled;
  private volatile boolean moving;
  private volatile String engine = "";
  private volatile long startedAt;
  private volatile long notBefore = Long.MIN_VALUE;
  private Cancellation attempt = new Cancellation();
  private int failures;

  ItemTask(Submission submission, RolloutItem item, int index) {
    this.submission = submission;
    this.item = item;
    this.index = index;
  }

  Submission submission() {
    return submission;
  }

  RolloutItem item() {
    return item;
  }

  /** Returns the name of the item among all submissions. */
  String key() {
    return submission.getId() + "/" + item.getId();
  }

  /** Returns whether an attempt has ever begun here. */
  boolean begun() {
    return !engine.isEmpty();
  }

  /** Returns the place of the item in its submission. */
  int index() {
    return index;
  }

  long expectedTokens() {
    return item.getExpectedTokens();
  }

  GeneratedText text() {
    return text;
  }

  boolean ready(long now) {
    return !running && !cancelled && notBefore <= now;
  }

  boolean running() {
    return running;
  }

  synchronized void started(String at, long now) {
    attempt = new Cancellation();
    engine = at;
    startedAt = now;
    moving = false;
    running = true;
  }

  /** Returns the engine of the present or last attempt. */
  String engine() {
    return engine;
  }

  long startedAt() {
    return startedAt;
  }

  /** Returns whether the attempt is cut so that the item goes on elsewhere. */
  boolean moving() {
    return moving;
  }

  /** Cuts the attempt in progress; the item goes on at another engine. */
  synchronized void move() {
    moving = true;
    attempt.cancel();
  }

  /** Ends an attempt; the next may start at a time. */
  void paused(long until) {
    notBefore = until;
    running = false;
  }

  boolean cancelled() {
    return cancelled;
  }

  /** Counts a failed run; returns whether the item is to be given up. */
  boolean failed() {
    failures++;
    return GiveUpRule.itemAttemptsExhausted(failures, submission.getMaxAttempts());
  }

  /** Returns what cuts the attempt in progress. */
  synchronized Cancellation attempt() {
    return attempt;
  }

  synchronized void cancel() {
    cancelled = true;
    attempt.cancel();
  }
}
