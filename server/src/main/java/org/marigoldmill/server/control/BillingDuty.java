package org.marigoldmill.server.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.TreeMap;
import org.marigoldmill.core.lease.LeaseElector;
import org.marigoldmill.core.usage.UsageWindows;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.log.UsageCounter;
import org.marigoldmill.schema.log.WindowFigures;
import org.marigoldmill.schema.log.WindowReported;
import org.marigoldmill.schema.log.WindowSeal;
import org.marigoldmill.schema.platform.UsageReport;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.platform.LogAppender;
import org.marigoldmill.server.platform.PlatformClient;
import org.marigoldmill.server.state.SharedState;
import org.marigoldmill.server.usage.UsageLedger;

/**
 * Seals the usage windows of a zone in the log and reports the sealed windows to billing.
 *
 * <p>Only sealed figures are reported, so repeated reports of a window are identical whichever
 * process sends them.
 */
public final class BillingDuty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long REPLICATION_GRACE_MS = 1_500;
  private static final int MAX_RETAINED_WINDOWS = 256;
  private static final long APPEND_INTERVAL_MS = 1_000;

  private final String zone;
  private final String process;
  private final long sendLimitMs;
  private final LeaseElector lease;
  private final SharedState state;
  private final UsageLedger ledger;
  private final PlatformClient platform;
  private final LogAppender appender;
  private final Clock clock;
  private final TreeMap<Long, List<UsageCounter>> countersByWindow = new TreeMap<>();
  private long lastAppendAtMs = Long.MIN_VALUE / 2;

  /**
   * Creates the task for a zone.
   *
   * @param process name under which this process reports
   * @param sendLimitMs timeout of a report, and the least remaining time of the lease to send one,
   *     in milliseconds
   * @param lease lease that allows sealing and reporting
   */
  public BillingDuty(
      String zone,
      String process,
      long sendLimitMs,
      LeaseElector lease,
      SharedState state,
      UsageLedger ledger,
      PlatformClient platform,
      LogAppender appender,
      Clock clock) {
    this.zone = zone;
    this.process = process;
    this.sendLimitMs = sendLimitMs;
    this.lease = lease;
    this.state = state;
    this.ledger = ledger;
    this.platform = platform;
    this.appender = appender;
    this.clock = clock;
  }

  /**
   * Records the counters of the window that has ended. While this process holds the lease, also
   * reports the windows that are sealed and seals the next one.
   */
  public void recordAndReportUsage() {
    if (state.config().revision() == 0) {
      return;
    }
    long endedWindow = (System.currentTimeMillis() - REPLICATION_GRACE_MS) / windowMs() - 1;
    countersByWindow.computeIfAbsent(endedWindow, w -> ledger.countersInZone(zone));
    while (countersByWindow.size() > MAX_RETAINED_WINDOWS) {
      countersByWindow.pollFirstEntry();
    }
    if (lease.remainingMs(clock.now()) < sendLimitMs) {
      return;
    }
    Snapshot snapshot = state.snapshot();
    unreportedWindows(snapshot).forEach(this::report);
    sealNext(snapshot);
  }

  private void sealNext(Snapshot snapshot) {
    long lastSealed = UsageWindows.lastSealedWindow(snapshot.getSealedList(), lease.scope());
    Long next = countersByWindow.higherKey(lastSealed);
    if (next == null || clock.now() - lastAppendAtMs < APPEND_INTERVAL_MS) {
      return;
    }
    lastAppendAtMs = clock.now();
    WindowSeal seal =
        WindowSeal.newBuilder()
            .setScope(lease.scope())
            .setEpoch(lease.epoch())
            .setWindow(next)
            .addAllCounters(countersByWindow.get(next))
            .build();
    appender.submit(appender.newRecord().setSeal(seal).build());
  }

  private List<WindowFigures> unreportedWindows(Snapshot snapshot) {
    return snapshot.getWindowsList().stream()
        .filter(w -> w.getScope().equals(lease.scope()))
        .filter(w -> !w.getReported())
        .toList();
  }

  private void report(WindowFigures window) {
    UsageReport report =
        UsageReport.newBuilder()
            .setScope(window.getScope())
            .setWindow(window.getWindow())
            .setProcess(process)
            .setFencing(lease.requireHeld(clock.now(), sendLimitMs))
            .addAllUsage(window.getUsageList())
            .addAllLate(window.getLateList())
            .build();
    boolean accepted =
        platform
            .report(report, sendLimitMs, () -> lease.requireHeld(clock.now(), sendLimitMs))
            .getAccepted();
    if (!accepted) {
      logger.atWarning().log(
          "billing refused usage window %d of zone %s; it stays unreported",
          window.getWindow(), zone);
      return;
    }
    WindowReported reported =
        WindowReported.newBuilder()
            .setScope(lease.scope())
            .setEpoch(lease.epoch())
            .setWindow(window.getWindow())
            .build();
    appender.submit(appender.newRecord().setReported(reported).build());
  }

  private long windowMs() {
    return state.config().declaration().getUsageWindowMs();
  }
}
