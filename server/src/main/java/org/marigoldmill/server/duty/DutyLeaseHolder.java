package org.marigoldmill.server.duty;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.marigoldmill.core.lease.LeaseElector;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.schema.fleet.DutyLease;
import org.marigoldmill.schema.log.LeaseClaim;
import org.marigoldmill.schema.log.LeaseState;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;
import org.marigoldmill.server.store.Topic;

/**
 * Claims and renews the duty lease by conditional appends.
 *
 * <p>Each append requires that the writer has read all earlier records, so the last record alone
 * determines the holder.
 */
public final class DutyLeaseHolder implements PartitionFollower.Sink {
  /** Topic that stores the lease. */
  public static final Topic TOPIC = new Topic("duty-lease", false);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String SCOPE = "duties";
  private static final String UNKNOWN_HOLDER = "";
  private static final long TAKEOVER_GUARD_MS = 300;

  private final LogStore store;
  private final PartitionFollower follower;
  private final LeaseElector elector;
  private final String holder;
  private final Clock clock;
  private final long ttlMs;
  private final long turnGuardMs;
  private volatile long earliestClaimMs;

  /** Staggers the claims of processes that see the lease expire at the same time. */
  private final long claimDelayMs;

  private long endOffset;
  private DutyLease lastRecord = DutyLease.getDefaultInstance();
  private boolean loggedHeld;
  private boolean recordsMissed;

  /**
   * Creates the lease holder of one process.
   *
   * @param holder identity of this process, unique for each start
   * @param ttlMs validity of a claim, in milliseconds
   * @param startupDelayMs time after its start during which this process claims nothing, in
   *     milliseconds
   */
  public DutyLeaseHolder(
      LogStore store, String holder, long ttlMs, long startupDelayMs, Clock clock) {
    this.store = store;
    this.holder = holder;
    this.clock = clock;
    this.ttlMs = ttlMs;
    this.elector = LeaseElector.of(SCOPE, holder, ttlMs, TAKEOVER_GUARD_MS, clock.now());
    this.follower = new PartitionFollower(store, TOPIC, 0, ttlMs / 2, 0, this, clock);
    this.turnGuardMs = startupDelayMs;
    this.earliestClaimMs = clock.now() + startupDelayMs;
    this.claimDelayMs = Math.floorMod(holder.hashCode(), TAKEOVER_GUARD_MS);
  }

  /** Returns the follower that reads the lease topic. */
  public PartitionFollower follower() {
    return follower;
  }

  /**
   * Claims or renews the lease if due; to be called periodically.
   *
   * <p>An instance that has not read the lease log for a while reads it first.
   */
  public void claimIfDue() {
    long now = clock.now();
    logChange(elector.remainingMs(now) > 0);
    boolean outdated = follower.ageMs() > ttlMs && !remainsHeldFor(1);
    if (now < earliestClaimMs || !follower.ready() || outdated) {
      return;
    }
    String appendId = UUID.randomUUID().toString();
    elector
        .claimIfDue(appendId, now, claimDelayMs)
        .ifPresent(claim -> appendClaim(appendId, claim));
  }

  /**
   * Returns the fencing token for an operation that only the lease holder may perform.
   *
   * @param maxDurationMs longest duration of the operation, in milliseconds
   * @throws org.marigoldmill.core.error.MarigoldmillException if this process does not hold the
   *     lease for that long
   */
  public long requireFencingToken(long maxDurationMs) {
    return elector.requireHeld(clock.now(), maxDurationMs);
  }

  /** Returns whether this process will hold the lease for at least a duration, in milliseconds. */
  public boolean remainsHeldFor(long durationMs) {
    return elector.remainingMs(clock.now()) >= durationMs;
  }

  /** Stops claiming, and releases the lease if this process holds it. */
  public void release() {
    Optional<LeaseState> held = elector.resign();
    if (held.isPresent()) {
      DutyLease released;
      long expectedEnd;
      synchronized (this) {
        released = lastRecord.toBuilder().setReleased(true).setAppendId("").build();
        expectedEnd = endOffset;
      }
      LogStore.AppendResult appended = append(expectedEnd, released);
      logger.atInfo().log(
          "duty lease released epoch=%d outcome=%s", released.getEpoch(), appended.outcome());
    }
  }

  /** Claims again after {@link #release}, once the duty may return to an earlier holder. */
  public void resume() {
    earliestClaimMs = clock.now() + turnGuardMs;
    elector.resume();
  }

  @Override
  public synchronized void reset() {
    lastRecord = DutyLease.getDefaultInstance();
    recordsMissed = true;
  }

  @Override
  public synchronized void apply(StoredRecord stored) {
    try {
      lastRecord = DutyLease.parseFrom(stored.value().orElseThrow());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("malformed duty lease record: " + e.getMessage(), e);
    }
    LeaseState state =
        LeaseState.newBuilder()
            .setScope(SCOPE)
            .setHolder(lastRecord.getHolder())
            .setEpoch(lastRecord.getEpoch())
            .setLastOffset(stored.offset() + 1)
            .setTtlMs(lastRecord.getTtlMs())
            .setReleased(lastRecord.getReleased())
            .setLastAppendId(lastRecord.getAppendId())
            .build();
    elector.observe(Optional.of(state), clock.now());
  }

  /**
   * {@inheritDoc}
   *
   * <p>A record that was trimmed before it was read may have granted the lease to any process, as
   * late as just now. After a gap the holder therefore counts as unknown.
   */
  @Override
  public synchronized void advanceTo(long offset) {
    endOffset = offset;
    if (recordsMissed) {
      recordsMissed = false;
      LeaseState unknown =
          LeaseState.newBuilder()
              .setScope(SCOPE)
              .setHolder(UNKNOWN_HOLDER)
              .setLastOffset(offset)
              .build();
      elector.observe(Optional.of(unknown), clock.now());
    }
  }

  private void appendClaim(String appendId, LeaseClaim claim) {
    DutyLease lease;
    long expectedEnd;
    synchronized (this) {
      expectedEnd = endOffset;
      boolean renewal = !lastRecord.getReleased() && lastRecord.getHolder().equals(holder);
      lease =
          DutyLease.newBuilder()
              .setHolder(holder)
              .setEpoch(renewal ? lastRecord.getEpoch() : expectedEnd + 1)
              .setTtlMs(claim.getTtlMs())
              .setAppendId(appendId)
              .build();
    }
    LogStore.AppendResult appended = append(expectedEnd, lease);
    if (appended.outcome() == LogStore.AppendOutcome.STORED) {
      byte[] value = lease.toByteArray();
      follower.applyAppended(
          appended.offset(), List.of(new StoredRecord(appended.offset(), "", Optional.of(value))));
    } else {
      logger.atInfo().log(
          "duty lease not claimed at=%d epoch=%d outcome=%s",
          expectedEnd, lease.getEpoch(), appended.outcome());
    }
  }

  private LogStore.AppendResult append(long expectedEnd, DutyLease lease) {
    return store.append(
        TOPIC, 0, OptionalLong.of(expectedEnd), List.of(KeyedRecord.unkeyed(lease.toByteArray())));
  }

  private void logChange(boolean held) {
    if (held != loggedHeld) {
      loggedHeld = held;
      logger.atInfo().log("duty lease held=%s epoch=%d", held, elector.epoch());
    }
  }
}
