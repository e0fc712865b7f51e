package org.marigoldmill.server.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.marigoldmill.core.config.LogReducer;
import org.marigoldmill.core.lease.LeaseElector;
import org.marigoldmill.core.membership.MemberTable;
import org.marigoldmill.core.membership.RendezvousHash;
import org.marigoldmill.schema.log.LeaseClaim;
import org.marigoldmill.schema.log.LeaseRelease;
import org.marigoldmill.schema.log.LogRecord;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.peer.MemberEntry;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.platform.LogAppender;
import org.marigoldmill.server.state.SharedState;

/**
 * Claims, renews and releases the leases that this process may hold.
 *
 * <p>Processes delay their claims by their rendezvous rank for the scope, so that they seldom claim
 * the same lease at once.
 */
public final class LeaseDuty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CLAIM_DELAY_STEP_MS = 300;

  private final Map<String, LeaseElector> electors;
  private final LogAppender appender;
  private final MemberTable members;
  private final Clock clock;

  /** Creates the task for the given electors, which observe every change of the state. */
  public LeaseDuty(
      List<LeaseElector> electors,
      SharedState state,
      LogAppender appender,
      MemberTable members,
      Clock clock) {
    this.electors = electors.stream().collect(Collectors.toMap(LeaseElector::scope, e -> e));
    this.appender = appender;
    this.members = members;
    this.clock = clock;
    state.onAdvance(this::observe);
  }

  /** Appends the claims that are due. */
  public void claimDueLeases() {
    electors.values().forEach(this::claimIfDue);
  }

  /** Returns the elector of a scope, or null if this process does not contend for it. */
  public LeaseElector elector(String scope) {
    return electors.get(scope);
  }

  /** Releases all leases, so that other processes need not wait for them to expire. */
  public void releaseAll() {
    electors.values().forEach(this::release);
  }

  private void observe(Snapshot state) {
    long nowMs = clock.now();
    electors.values().forEach(e -> e.observe(LogReducer.lease(state, e.scope()), nowMs));
  }

  private void claimIfDue(LeaseElector elector) {
    LogRecord.Builder logRecord = appender.newRecord();
    long nowMs = clock.now();
    elector
        .claimIfDue(logRecord.getAppendId(), nowMs, claimDelayMs(elector.scope(), nowMs))
        .ifPresent(claim -> appendClaim(logRecord, claim));
  }

  private void appendClaim(LogRecord.Builder logRecord, LeaseClaim claim) {
    logger.atFine().log("appending a claim of lease %s", claim.getScope());
    appender.submit(logRecord.setClaim(claim).build());
  }

  private long claimDelayMs(String scope, long nowMs) {
    List<String> ranking =
        RendezvousHash.rank(scope, members.live(nowMs)).stream().map(MemberEntry::getName).toList();
    return Math.max(0, ranking.indexOf(members.self().getName())) * CLAIM_DELAY_STEP_MS;
  }

  private void release(LeaseElector elector) {
    Function<LeaseRelease, LogRecord> toRecord = r -> appender.newRecord().setRelease(r).build();
    elector
        .resign()
        .map(
            l ->
                LeaseRelease.newBuilder()
                    .setScope(l.getScope())
                    .setHolder(l.getHolder())
                    .setEpoch(l.getEpoch())
                    .build())
        .map(toRecord)
        .ifPresent(appender::submit);
  }
}
