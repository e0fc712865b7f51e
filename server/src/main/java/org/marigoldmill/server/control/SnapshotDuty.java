package org.marigoldmill.server.control;

import org.marigoldmill.core.lease.LeaseElector;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.platform.LogAppender;
import org.marigoldmill.server.state.SharedState;

/** Appends snapshots to the log before its retention removes the records that readers need. */
public final class SnapshotDuty {
  private static final long APPEND_INTERVAL_MS = 2_000;

  private final int intervalRecords;
  private final LeaseElector lease;
  private final SharedState state;
  private final LogAppender appender;
  private final Clock clock;
  private long lastAppendAtMs = Long.MIN_VALUE / 2;

  /**
   * Creates the task.
   *
   * @param intervalRecords number of records after which a new snapshot is due
   * @param lease lease that allows appending snapshots
   */
  public SnapshotDuty(
      int intervalRecords,
      LeaseElector lease,
      SharedState state,
      LogAppender appender,
      Clock clock) {
    this.intervalRecords = intervalRecords;
    this.lease = lease;
    this.state = state;
    this.appender = appender;
    this.clock = clock;
  }

  /** Appends a snapshot if one is due and this process holds the lease. */
  public void appendSnapshotIfDue() {
    long nowMs = clock.now();
    Snapshot snapshot = state.snapshot();
    boolean due = snapshot.getNextOffset() - snapshot.getLastSnapshot() > intervalRecords;
    if (lease.remainingMs(nowMs) <= 0 || !due || nowMs - lastAppendAtMs < APPEND_INTERVAL_MS) {
      return;
    }
    lastAppendAtMs = nowMs;
    appender.submit(appender.newRecord().setSnapshot(snapshot).build());
  }
}
