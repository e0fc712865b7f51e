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
 * Tells this instance's usage, and reports each window once when this instance is in charge.
 *
 * <p>A tally is told until the log has it. A window is sealed as soon as every process has told it,
 * so that a store that fails later delays nothing; for a process that is gone, the seal waits.
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

  /** Tallies of processes that started within the window come this soon after its end. */
  private static final long SOONEST_SEAL_MS = 600;

  private final UsageCounter counter;
  private final FleetLog fleet;
  private final DutyLeaseHolder lease;
  private final DutyApi api;
  private final String instance;
  private final long windowMs;
  private final long lateMs;
  private final LongSupplier unixMs;
  private final Set<Long> reported = new HashSet<>();
  private final String process;
  private final Deque<Tally> untold = new ArrayDeque<>();
  private long tallies;
  private long nextWindow;

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
    this.nextWindow = unixMs.getAsLong() / windowMs;
    this.process = instance + "#" + unixMs.getAsLong();
  }

  /** Tells, seals and reports what is due; one round of a duty. */
  public synchronized void runRound() {
    collect();
    untold.removeIf(this::told);
    if (lease.holds(SEND_LIMIT_MS) && fleet.follower().ready()) {
      seal();
      fleet.sealed().forEach(this::report);
    }
  }

  /** Tells what was counted so far, also in the present window, before the process ends. */
  public synchronized void tellAll() {
    counter.before(Long.MAX_VALUE).forEach(this::take);
    untold.removeIf(this::told);
    untold.forEach(
        t ->
            logger.atWarning().log(
                "usage lost window=%d counts=%s cause=stopped", t.window(), t.requests()));
  }

  /** Every window gets a tally, also one without requests, so that its seal needn't wait. */
  private void collect() {
    long present = (unixMs.getAsLong() - TELL_AFTER_MS) / windowMs;
    for (long w = Math.max(nextWindow, present - WINDOWS_BACK); w < present; w++) {
      take(w);
    }
    nextWindow = Math.max(nextWindow, present);
    // After a step of the clock, counts may be of windows that were told before.
    counter.before(present).forEach(this::take);
  }

  private void take(long window) {
    untold.add(new Tally(process, tallies++, window, counter.take(window)));
  }

  /** Returns whether a tally needs no further telling. */
  private boolean told(Tally tally) {
    if (fleet.sealed(tally.window())) {
      noteLoss(tally);
      return true;
    }
    return fleet.tell(tally) == LogStore.AppendOutcome.STORED;
  }

  private void noteLoss(Tally tally) {
    boolean counted = fleet.tallies().has(tally);
    if (!counted && !tally.requests().isEmpty()) {
      logger.atWarning().log(
          "usage lost window=%d counts=%s cause=sealed before it was told",
          tally.window(), tally.requests());
    }
  }

  private void seal() {
    long now = unixMs.getAsLong();
    long present = now / windowMs;
    long first = Math.max(fleet.completeSince() / windowMs, present - 1 - WINDOWS_BACK);
    for (long w = first; w < present; w++) {
      if (!fleet.sealed(w) && sealable(w, now - (w + 1) * windowMs)) {
        LogStore.AppendOutcome outcome = fleet.seal(w, fleet.tallies().requests(w));
        logger.atInfo().log(
            "usage sealed window=%d complete=%s outcome=%s",
            w, fleet.tallies().complete(w), outcome);
      }
    }
  }

  private boolean sealable(long window, long ageMs) {
    boolean complete = fleet.tallies().complete(window) && ageMs >= SOONEST_SEAL_MS;
    return complete || ageMs >= lateMs / SEAL_SHARE_OF_LATE;
  }

  private void report(long window, Map<String, Long> counts) {
    if (reported.contains(window) || !lease.holds(SEND_LIMIT_MS)) {
      return;
    }
    long epoch = lease.enter(SEND_LIMIT_MS);
    boolean accepted = api.reportUsage(instance, epoch, window, counts);
    if (accepted) {
      reported.add(window);
    }
    logger.atInfo().log(
        "usage reported window=%d epoch=%d counts=%s accepted=%s", window, epoch, counts, accepted);
  }
}
