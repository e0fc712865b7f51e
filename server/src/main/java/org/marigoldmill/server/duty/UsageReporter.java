package org.marigoldmill.server.duty;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.marigoldmill.core.usage.WindowTallies.Tally;
import org.marigoldmill.server.deployment.DutyApi;
import org.marigoldmill.server.store.LogStore;

/**
 * Publishes the usage of this instance, and reports each window once while holding the duty lease.
 *
 * <p>Publishing a tally is retried until the log stores it. A window is sealed as soon as every
 * process has published its tally, so that a later outage of the store causes no delay. If a
 * process has ended without publishing, the seal waits for a third of the report deadline.
 *
 * <p>Only counts whose seal has been read back from the log are reported, so retries and later
 * lease holders report the same values.
 */
public final class UsageReporter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long PUBLISH_DELAY_MS = 150;
  private static final long SEAL_DEADLINE_DIVISOR = 3;
  private static final long REPORT_TIMEOUT_MS = 600;
  private static final long MAX_PAST_WINDOWS = 3;

  /** Age of what is known of the fleet log above which a window may have been sealed unnoticed. */
  private static final long MAX_FLEET_LOG_AGE_MS = 5_000;

  /** Leaves time for tallies of processes that started within the window. */
  private static final long MIN_SEAL_DELAY_MS = 600;

  private final UsageCounter counter;
  private final FleetLog fleet;
  private final DutyLeaseHolder lease;
  private final DutyApi api;
  private final String instance;
  private final long windowMs;
  private final long reportDeadlineMs;
  private final LongSupplier unixMs;
  private final Set<Long> reportedWindows = new HashSet<>();
  private final String process;
  private final Deque<Tally> unpublished = new ArrayDeque<>();
  private long nextTallyNumber;
  private long nextWindow;

  /**
   * Creates a reporter.
   *
   * @param windowMs length of a window, in milliseconds
   * @param reportDeadlineMs time after its end by which a window must be reported, in milliseconds
   * @param unixMs wall clock, in Unix milliseconds
   */
  public UsageReporter(
      UsageCounter counter,
      FleetLog fleet,
      DutyLeaseHolder lease,
      DutyApi api,
      String instance,
      long windowMs,
      long reportDeadlineMs,
      LongSupplier unixMs) {
    this.counter = counter;
    this.fleet = fleet;
    this.lease = lease;
    this.api = api;
    this.instance = instance;
    this.windowMs = windowMs;
    this.reportDeadlineMs = reportDeadlineMs;
    this.unixMs = unixMs;
    this.nextWindow = unixMs.getAsLong() / windowMs;
    this.process = instance + "#" + unixMs.getAsLong();
  }

  /** Publishes, seals and reports what is due; to be called periodically. */
  public synchronized void publishAndReportDue() {
    collectEndedWindows();
    unpublished.removeIf(this::publishOrDrop);
    if (lease.remainsHeldFor(REPORT_TIMEOUT_MS)
        && fleet.follower().ageMs() <= MAX_FLEET_LOG_AGE_MS) {
      seal();
      fleet.sealedWindows().forEach(this::report);
    }
  }

  /** Publishes all counts, including the current window's, before the process ends. */
  public synchronized void publishAll() {
    counter.windowsBefore(Long.MAX_VALUE).forEach(this::enqueueTally);
    unpublished.removeIf(this::publishOrDrop);
    unpublished.forEach(
        t ->
            logger.atWarning().log(
                "usage lost window=%d counts=%s cause=stopped", t.window(), t.requests()));
  }

  /**
   * Queues a tally for each ended window, even an empty one.
   *
   * <p>A window is sealed, which makes its counts final, once the tallies of all processes are
   * there. A missing tally delays this until the deadline.
   */
  private void collectEndedWindows() {
    long currentWindow = (unixMs.getAsLong() - PUBLISH_DELAY_MS) / windowMs;
    for (long w = Math.max(nextWindow, currentWindow - MAX_PAST_WINDOWS); w < currentWindow; w++) {
      enqueueTally(w);
    }
    nextWindow = Math.max(nextWindow, currentWindow);
    // After a step of the wall clock, counts may belong to windows published earlier.
    counter.windowsBefore(currentWindow).forEach(this::enqueueTally);
  }

  private void enqueueTally(long window) {
    unpublished.add(new Tally(process, nextTallyNumber++, window, counter.take(window)));
  }

  /** Publishes a tally unless its window is sealed; returns whether no retry is needed. */
  private boolean publishOrDrop(Tally tally) {
    long ageMs = unixMs.getAsLong() - (tally.window() + 1) * windowMs;
    boolean maybeSealed = ageMs >= reportDeadlineMs / SEAL_DEADLINE_DIVISOR;
    if (maybeSealed && fleet.follower().ageMs() > MAX_FLEET_LOG_AGE_MS) {
      fleet.follower().catchUp();
    }
    if (fleet.isSealed(tally.window())) {
      logLoss(tally);
      return true;
    }
    return fleet.publishTally(tally) == LogStore.AppendOutcome.STORED;
  }

  private void logLoss(Tally tally) {
    boolean published = fleet.tallies().contains(tally);
    if (!published && !tally.requests().isEmpty()) {
      logger.atWarning().log(
          "usage lost window=%d counts=%s cause=window sealed before its tally was stored",
          tally.window(), tally.requests());
    }
  }

  private void seal() {
    long now = unixMs.getAsLong();
    long currentWindow = now / windowMs;
    long first =
        Math.max(fleet.completeSinceUnixMs() / windowMs, currentWindow - 1 - MAX_PAST_WINDOWS);
    for (long w = first; w < currentWindow; w++) {
      if (!fleet.isSealed(w) && isSealable(w, now - (w + 1) * windowMs)) {
        LogStore.AppendOutcome outcome = fleet.publishSeal(w, fleet.tallies().requests(w));
        logger.atInfo().log(
            "usage sealed window=%d complete=%s outcome=%s",
            w, fleet.tallies().complete(w), outcome);
      }
    }
  }

  private boolean isSealable(long window, long ageMs) {
    boolean complete = fleet.tallies().complete(window) && ageMs >= MIN_SEAL_DELAY_MS;
    return complete || ageMs >= reportDeadlineMs / SEAL_DEADLINE_DIVISOR;
  }

  private void report(long window, Map<String, Long> counts) {
    if (reportedWindows.contains(window) || !lease.remainsHeldFor(REPORT_TIMEOUT_MS)) {
      return;
    }
    long epoch = lease.requireFencingToken(REPORT_TIMEOUT_MS);
    boolean accepted = api.reportUsage(instance, epoch, window, counts);
    if (accepted) {
      reportedWindows.add(window);
    }
    logger.atInfo().log(
        "usage reported window=%d epoch=%d counts=%s accepted=%s", window, epoch, counts, accepted);
  }
}
