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
 * Seals the usage windows of one zone in the log and reports what is sealed.
 *
 * <p>Only sealed figures are sent, so every report of a window is the same whoever sends it.
 */
public final class BillingDuty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long REPLICATION_GRACE_MS = 1_500;
  private static final int MARKS_KEPT = 256;
  private static final long APPEND_PAUSE_MS = 1_000;

  private final String zone;
  private final String process;
  private final long sendLimitMs;
  private final LeaseElector lease;
  private final SharedState state;
  private final UsageLedger ledger;
  private final PlatformClient platform;
  private final LogAppender appender;
  private final Clock clock;
  private final TreeMap<Long, List<UsageCounter>> marks = new TreeMap<>();
  private long lastAppendAt = Long.MIN_VALUE / 2;

  /** Creates the duty of a zone. */
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

  /** Marks the counters of a window that has ended; seals and reports while in charge. */
  public void runRound() {
    if (state.config().revision() == 0) {
      return;
    }
    long ended = (System.currentTimeMillis() - REPLICATION_GRACE_MS) / windowMs() - 1;
    marks.computeIfAbsent(ended, w -> ledger.countersInZone(zone));
    while (marks.size() > MARKS_KEPT) {
      marks.pollFirstEntry();
    }
    if (lease.remainingMs(clock.now()) < sendLimitMs) {
      return;
    }
    Snapshot now = state.snapshot();
    unreported(now).forEach(this::report);
    sealNext(now);
  }

  private void sealNext(Snapshot now) {
    long last = UsageWindows.lastSealedWindow(now.getSealedList(), lease.scope());
    Long next = marks.higherKey(last);
    if (next == null || clock.now() - lastAppendAt < APPEND_PAUSE_MS) {
      return;
    }
    lastAppendAt = clock.now();
    WindowSeal seal =
        WindowSeal.newBuilder()
            .setScope(lease.scope())
            .setEpoch(lease.epoch())
            .setWindow(next)
            .addAllCounters(marks.get(next))
            .build();
    appender.submit(appender.newRecord().setSeal(seal).build());
  }

  private List<WindowFigures> unreported(Snapshot now) {
    return now.getWindowsList().stream()
        .filter(w -> w.getScope().equals(lease.scope()))
        .filter(w -> !w.getReported())
        .toList();
  }

  private void report(WindowFigures figures) {
    UsageReport report =
        UsageReport.newBuilder()
            .setScope(figures.getScope())
            .setWindow(figures.getWindow())
            .setProcess(process)
            .setFencing(lease.requireHeld(clock.now(), sendLimitMs))
            .addAllUsage(figures.getUsageList())
            .addAllLate(figures.getLateList())
            .build();
    boolean accepted =
        platform
            .report(report, sendLimitMs, () -> lease.requireHeld(clock.now(), sendLimitMs))
            .getAccepted();
    if (!accepted) {
      logger.atWarning().log("window %d of %s was refused", figures.getWindow(), zone);
      return;
    }
    WindowReported reported =
        WindowReported.newBuilder()
            .setScope(lease.scope())
            .setEpoch(lease.epoch())
            .setWindow(figures.getWindow())
            .build();
    appender.submit(appender.newRecord().setReported(reported).build());
  }

  private long windowMs() {
    return state.config().declaration().getUsageWindowMs();
  }
}
