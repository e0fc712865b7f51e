package org.marigoldmill.server.duty;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.marigoldmill.core.lease.LeaseKeeper;
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
 * Claims and renews the lease of the duties by conditional appends.
 *
 * <p>Each record of the topic was appended on the condition that its writer had read all before it,
 * so the last record alone says who holds the lease.
 */
public final class DutyLeaseHolder implements PartitionFollower.Sink {
  /** Where the lease is stored. */
  public static final Topic TOPIC = new Topic("duty-lease", false);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String SCOPE = "duties";
  private static final String UNKNOWN_HOLDER = "";
  private static final long GUARD_MS = 300;

  private final LogStore store;
  private final PartitionFollower follower;
  private final LeaseKeeper keeper;
  private final String holder;
  private final Clock clock;
  private final long mayClaimAt;
  private final long courtesyMs;
  private long end;
  private DutyLease last = DutyLease.getDefaultInstance();
  private boolean holding;
  private boolean missed;

  /**
   * Creates the holder of one process.
   *
   * @param holder name of this process, different in each of its lives
   * @param ttlMs time for which a claim holds, in milliseconds
   * @param quietMs time after its start before which this process claims nothing, in milliseconds
   */
  public DutyLeaseHolder(LogStore store, String holder, long ttlMs, long quietMs, Clock clock) {
    this.store = store;
    this.holder = holder;
    this.clock = clock;
    this.keeper = LeaseKeeper.of(SCOPE, holder, ttlMs, GUARD_MS, clock.now());
    this.follower = new PartitionFollower(store, TOPIC, 0, ttlMs / 2, 0, this, clock);
    this.mayClaimAt = clock.now() + quietMs;
    this.courtesyMs = Math.floorMod(holder.hashCode(), GUARD_MS);
  }

  /** Returns what keeps the lease up to date. */
  public PartitionFollower follower() {
    return follower;
  }

  /** Claims or renews when due; one round of a duty. */
  public void runRound() {
    long now = clock.now();
    noteChange(keeper.remaining(now) > 0);
    if (now < mayClaimAt || !follower.ready()) {
      return;
    }
    String appendId = UUID.randomUUID().toString();
    keeper.claimDue(appendId, now, courtesyMs).ifPresent(claim -> send(appendId, claim));
  }

  /**
   * Passes an effect that takes at most a time.
   *
   * @return the fencing number
   * @throws org.marigoldmill.core.error.MarigoldmillException when this process is not in charge
   */
  public long enter(long limitMs) {
    return keeper.enter(clock.now(), limitMs);
  }

  /** Returns whether this process is in charge for at least a time, in milliseconds. */
  public boolean holds(long limitMs) {
    return keeper.remaining(clock.now()) >= limitMs;
  }

  /** Gives the lease up. */
  public void release() {
    Optional<LeaseState> held = keeper.yieldLease();
    if (held.isPresent()) {
      DutyLease released;
      long at;
      synchronized (this) {
        released = last.toBuilder().setReleased(true).setAppendId("").build();
        at = end;
      }
      LogStore.AppendResult appended = append(at, released);
      logger.atInfo().log(
          "duty lease released epoch=%d outcome=%s", released.getEpoch(), appended.outcome());
    }
  }

  @Override
  public synchronized void reset() {
    last = DutyLease.getDefaultInstance();
    missed = true;
  }

  @Override
  public synchronized void apply(StoredRecord stored) {
    try {
      last = DutyLease.parseFrom(stored.value().orElseThrow());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("duty lease: " + e.getMessage(), e);
    }
    LeaseState state =
        LeaseState.newBuilder()
            .setScope(SCOPE)
            .setHolder(last.getHolder())
            .setEpoch(last.getEpoch())
            .setLastOffset(stored.offset() + 1)
            .setTtlMs(last.getTtlMs())
            .setReleased(last.getReleased())
            .setLastAppendId(last.getAppendId())
            .build();
    keeper.observe(Optional.of(state), clock.now());
  }

  /** Records that were dropped unread may have given the lease to anyone until now. */
  @Override
  public synchronized void advanceTo(long offset) {
    end = offset;
    if (missed) {
      missed = false;
      LeaseState unknown =
          LeaseState.newBuilder()
              .setScope(SCOPE)
              .setHolder(UNKNOWN_HOLDER)
              .setLastOffset(offset)
              .build();
      keeper.observe(Optional.of(unknown), clock.now());
    }
  }

  private void send(String appendId, LeaseClaim claim) {
    DutyLease lease;
    long at;
    synchronized (this) {
      at = end;
      boolean renewal = !last.getReleased() && last.getHolder().equals(holder);
      lease =
          DutyLease.newBuilder()
              .setHolder(holder)
              .setEpoch(renewal ? last.getEpoch() : at + 1)
              .setTtlMs(claim.getTtlMs())
              .setAppendId(appendId)
              .build();
    }
    LogStore.AppendResult appended = append(at, lease);
    if (appended.outcome() == LogStore.AppendOutcome.STORED) {
      byte[] value = lease.toByteArray();
      follower.applyAppended(
          appended.offset(), List.of(new StoredRecord(appended.offset(), "", Optional.of(value))));
    } else {
      logger.atInfo().log(
          "duty lease not claimed at=%d epoch=%d outcome=%s",
          at, lease.getEpoch(), appended.outcome());
    }
  }

  private LogStore.AppendResult append(long at, DutyLease lease) {
    return store.append(
        TOPIC, 0, OptionalLong.of(at), List.of(KeyedRecord.unkeyed(lease.toByteArray())));
  }

  private void noteChange(boolean now) {
    if (now != holding) {
      holding = now;
      logger.atInfo().log("duty lease held=%s epoch=%d", now, keeper.epoch());
    }
  }
}
