package org.marigoldmill.server.control;

import org.marigoldmill.core.lease.LeaseElector;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.platform.LogAppender;
import org.marigoldmill.server.state.SharedState;

/** Appends snapshots before the log's retention removes their base. */
public final class SnapshotDuty {
  private static final long APPEND_PAUSE_MS = 2_000;

  private final int everyRecords;
  private final LeaseElector lease;
  private final SharedState state;
  private final LogAppender appender;
  private final Clock clock;
  private long lastAppendAt = Long.MIN_VALUE / 2;

  /** Creates the duty. */
  public SnapshotDuty(
      int everyRecords, LeaseElector lease, SharedState state, LogAppender appender, Clock clock) {
    this.everyRecords = everyRecords;
    this.lease = lease;
    this.state = state;
    this.appender = appender;
    this.clock = clock;
  }

  /** Appends a snapshot when enough records have come since the last one. */
  public void runRound() {
    long now = clock.now();
    Snapshot snapshot = state.snapshot();
    boolean due = snapshot.getNextOffset() - snapshot.getLastSnapshot() > everyRecords;
    if (lease.remainingMs(now) <= 0 || !due || now - lastAppendAt < APPEND_PAUSE_MS) {
      return;
    }
    lastAppendAt = now;
    appender.submit(appender.newRecord().setSnapshot(snapshot).build());
  }
}
