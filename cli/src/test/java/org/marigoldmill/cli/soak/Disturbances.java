package org.marigoldmill.cli.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** What has disturbed the instances, the store and the upstreams, and when. */
final class Disturbances {
  static final String STORE = "store";
  static final String UPSTREAMS = "upstreams";

  /** Time after a disturbance until the stated bounds hold again ({@code contact_ms}). */
  static final long CONTACT_MS = 3_000;

  private static final long TICK_MS = 50;

  /** A pause of this process in which its stand-ins and callers stood still as well. */
  private static final long STALL_MS = 250;

  /** A disturbance, which lasts until it is ended. */
  static final class Interval {
    private final String subject;
    private final boolean planned;
    private final long fromMs;
    private volatile long toMs = Long.MAX_VALUE;

    private Interval(String subject, boolean planned, long fromMs) {
      this.subject = subject;
      this.planned = planned;
      this.fromMs = fromMs;
    }
  }

  private final List<Interval> intervals = new CopyOnWriteArrayList<>();
  private final SoakLog log;
  private volatile long tickMs = Long.MAX_VALUE;

  Disturbances(SoakLog log) {
    this.log = log;
  }

  /** Notes the start of planned work on an instance. */
  Interval beginPlanned(String instance) {
    return begin(instance, true);
  }

  /** Notes the start of a fault. */
  Interval beginFault(String subject) {
    return begin(subject, false);
  }

  void end(Interval interval) {
    interval.toMs = log.now();
  }

  /**
   * Notes pauses of this process; to be called repeatedly.
   *
   * <p>The store and the upstreams run in this process, so a pause disturbs them.
   */
  void detectStall() {
    final long beforeMs = log.now();
    tickMs = beforeMs;
    SoakRun.sleep(TICK_MS);
    long nowMs = log.now();
    if (nowMs - beforeMs > STALL_MS) {
      Interval stall = new Interval(STORE, false, beforeMs);
      stall.toMs = nowMs;
      intervals.add(stall);
      log.event("this process stalled from_ms=%d for_ms=%d", beforeMs, nowMs - beforeMs);
    }
  }

  /** Returns whether no fault was near a request of an instance. */
  boolean withoutFault(String instance, long sentMs, long endedMs) {
    return !isStalled()
        && near(sentMs, endedMs)
            .noneMatch(i -> !i.planned && List.of(instance, STORE, UPSTREAMS).contains(i.subject));
  }

  /** Returns whether an instance ran and reached the store undisturbed around a request. */
  boolean inTouch(String instance, long sentMs, long endedMs) {
    return !isStalled()
        && near(sentMs, endedMs).noneMatch(i -> List.of(instance, STORE).contains(i.subject));
  }

  private boolean isStalled() {
    return log.now() - tickMs > STALL_MS;
  }

  private Stream<Interval> near(long sentMs, long endedMs) {
    return intervals.stream().filter(i -> i.fromMs <= endedMs && i.toMs >= sentMs - CONTACT_MS);
  }

  private Interval begin(String subject, boolean planned) {
    Interval interval = new Interval(subject, planned, log.now());
    intervals.add(interval);
    return interval;
  }
}
