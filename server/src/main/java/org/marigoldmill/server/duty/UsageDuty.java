package org.marigoldmill.server.duty;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.marigoldmill.server.deployment.DutyApi;
import org.marigoldmill.server.store.LogStore;

/**
 * Tells this instance's usage, and reports each window once when this instance is in charge.
 *
 * <p>Only figures whose seal has been read back from the log are sent, so every repeat and every
 * successor sends the same.
 */
public final class UsageDuty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TELL_AFTER_MS = 150;
  private static final long SEAL_SHARE_OF_LATE = 3;
  private static final long SEND_LIMIT_MS = 600;
  private static final long WINDOWS_BACK = 3;

  private final UsageCounter counter;
  private final FleetLog fleet;
  private final DutyLeaseHolder lease;
  private final DutyApi api;
  private final String instance;
  private final long windowMs;
  private final long lateMs;
  private final LongSupplier unixMs;
  private final Set<Long> reported = new HashSet<>();
  private final Set<Long> proposed = new HashSet<>();
  private final long firstWindow;

  /**
   * Creates the duty.
   *
   * @param windowMs length of a window, in milliseconds
   * @param lateMs time after its end by which a window must be reported, in milliseconds
   * @param unixMs time of day in Unix milliseconds
   */
  public UsageDuty(
      UsageCounter counter,
      FleetLog fleet,
      DutyLeaseHolder lease,
      DutyApi api,
      String instance,
      long windowMs,
      long lateMs,
      LongSupplier unixMs) {
    this.counter = counter;
    this.fleet = fleet;
    this.lease = lease;
    this.api = api;
    this.instance = instance;
    this.windowMs = windowMs;
    this.lateMs = lateMs;
    this.unixMs = unixMs;
    this.firstWindow = unixMs.getAsLong() / windowMs;
  }

  /** Tells, seals and reports what is due; one round of a duty. */
  public void runRound() {
    counter.ended(TELL_AFTER_MS).forEach(this::tell);
    if (lease.holds(SEND_LIMIT_MS) && fleet.follower().ready()) {
      seal();
      fleet.sealed().forEach(this::report);
    }
  }

  private void tell(long window) {
    Map<String, Long> counts = counter.take(window);
    LogStore.Outcome outcome = fleet.tally(window, counts);
    if (outcome == LogStore.Outcome.REFUSED) {
      counter.putBack(window, counts);
    } else if (outcome == LogStore.Outcome.UNKNOWN) {
      logger.atWarning().log("usage may be lost window=%d counts=%s", window, counts);
    }
  }

  private void seal() {
    long due = (unixMs.getAsLong() - lateMs / SEAL_SHARE_OF_LATE) / windowMs;
    for (long w = Math.max(firstWindow, due - WINDOWS_BACK); w < due; w++) {
      if (!fleet.sealed().containsKey(w) && proposed.add(w)) {
        LogStore.Outcome outcome = fleet.seal(w, fleet.told(w));
        if (outcome == LogStore.Outcome.REFUSED) {
          proposed.remove(w);
        }
        logger.atInfo().log("usage sealed window=%d outcome=%s", w, outcome);
      }
    }
  }

  private void report(long window, Map<String, Long> counts) {
    if (reported.contains(window) || !lease.holds(SEND_LIMIT_MS)) {
      return;
    }
    long epoch = lease.enter(SEND_LIMIT_MS);
    boolean accepted = api.report(instance, epoch, window, counts);
    if (accepted) {
      reported.add(window);
    }
    logger.atInfo().log(
        "usage reported window=%d epoch=%d counts=%s accepted=%s", window, epoch, counts, accepted);
  }
}
