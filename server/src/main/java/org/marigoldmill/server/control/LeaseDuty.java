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

/** Claims and renews the leases that this process may hold. */
public final class LeaseDuty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long COURTESY_STEP_MS = 300;

  private final Map<String, LeaseElector> keepers;
  private final LogAppender appender;
  private final MemberTable members;
  private final Clock clock;

  /** Creates the duty over some leases and lets them follow the state. */
  public LeaseDuty(
      List<LeaseElector> keepers,
      SharedState state,
      LogAppender appender,
      MemberTable members,
      Clock clock) {
    this.keepers = keepers.stream().collect(Collectors.toMap(LeaseElector::scope, k -> k));
    this.appender = appender;
    this.members = members;
    this.clock = clock;
    state.onAdvance(this::observe);
  }

  /** Appends the claims that are due. */
  public void runRound() {
    keepers.values().forEach(this::claimIfDue);
  }

  /** Returns the keeper of a scope. */
  public LeaseElector elector(String scope) {
    return keepers.get(scope);
  }

  /** Gives up all leases, so that others take over without waiting. */
  public void releaseAll() {
    keepers.values().forEach(this::release);
  }

  private void observe(Snapshot state) {
    long now = clock.now();
    keepers.values().forEach(k -> k.observe(LogReducer.lease(state, k.scope()), now));
  }

  private void claimIfDue(LeaseElector keeper) {
    LogRecord.Builder logRecord = appender.newRecord();
    long now = clock.now();
    keeper
        .claimIfDue(logRecord.getAppendId(), now, courtesy(keeper.scope(), now))
        .ifPresent(claim -> send(logRecord, claim));
  }

  private void send(LogRecord.Builder logRecord, LeaseClaim claim) {
    logger.atFine().log("claims %s", claim.getScope());
    appender.submit(logRecord.setClaim(claim).build());
  }

  private long courtesy(String scope, long now) {
    List<String> order =
        RendezvousHash.rank(scope, members.live(now)).stream().map(MemberEntry::getName).toList();
    return Math.max(0, order.indexOf(members.self().getName())) * COURTESY_STEP_MS;
  }

  private void release(LeaseElector keeper) {
    Function<LeaseRelease, LogRecord> toRecord = r -> appender.newRecord().setRelease(r).build();
    keeper
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
