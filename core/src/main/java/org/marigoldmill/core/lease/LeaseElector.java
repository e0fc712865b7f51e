package org.marigoldmill.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.schema.log.LeaseClaim;
import org.marigoldmill.schema.log.LeaseState;

/**
 * Leader election for one process and one lease: when to claim, when to renew, and whether this
 * process holds the lease.
 *
 * <p>The holder measures its lease from before it sent the accepted claim. A challenger measures it
 * from when it read that claim, and waits for an extra guard interval, so that two processes never
 * both consider themselves the holder. Times are readings of a monotonic clock in milliseconds.
 */
public final class LeaseElector {
  private final String scope;
  private final String holder;
  private final long ttlMs;
  private final long guardMs;
  private final Map<String, Long> claimSentAtMs = new HashMap<>();
  private LeaseState lease = LeaseState.getDefaultInstance();
  private long observedAtMs;
  private long heldUntilMs = Long.MIN_VALUE;
  private long lastClaimAtMs = Long.MIN_VALUE;
  private boolean resigned;

  private LeaseElector(String scope, String holder, long ttlMs, long guardMs, long nowMs) {
    this.scope = scope;
    this.holder = holder;
    this.ttlMs = ttlMs;
    this.guardMs = guardMs;
    this.observedAtMs = nowMs;
  }

  /**
   * Creates an elector.
   *
   * @param scope scope that the lease covers
   * @param holder identifier of this process, different after each restart
   * @param ttlMs time for which a claim is valid, in milliseconds
   * @param guardMs extra wait of a challenger after expiry, in milliseconds
   * @param nowMs present time
   * @return an elector that holds no lease
   */
  public static LeaseElector of(String scope, String holder, long ttlMs, long guardMs, long nowMs) {
    return new LeaseElector(scope, holder, ttlMs, guardMs, nowMs);
  }

  /** Updates the state of the lease, as read from the log at {@code nowMs}. */
  public synchronized void observe(Optional<LeaseState> state, long nowMs) {
    LeaseState observed = state.orElse(LeaseState.getDefaultInstance());
    if (observed.getLastOffset() <= lease.getLastOffset()) {
      return;
    }
    lease = observed;
    observedAtMs = nowMs;
    Long sentMs = claimSentAtMs.get(observed.getLastAppendId());
    boolean mine = !observed.getReleased() && observed.getHolder().equals(holder);
    if (mine && sentMs != null) {
      heldUntilMs = sentMs + ttlMs;
    } else if (!mine) {
      heldUntilMs = Long.MIN_VALUE;
    }
    claimSentAtMs.clear();
  }

  /**
   * Returns a claim or renewal to append if one is due, and records it as sent.
   *
   * @param appendId identifier of the record that will carry the claim
   * @param nowMs present time, read before the record is sent
   * @param challengeDelayMs extra wait as a challenger, in milliseconds, so that preferred
   *     challengers claim first
   * @return the claim, or empty if none is due
   */
  public synchronized Optional<LeaseClaim> claimIfDue(
      String appendId, long nowMs, long challengeDelayMs) {
    if (resigned || !isClaimDue(nowMs, challengeDelayMs)) {
      return Optional.empty();
    }
    lastClaimAtMs = nowMs;
    claimSentAtMs.put(appendId, nowMs);
    return Optional.of(
        LeaseClaim.newBuilder()
            .setScope(scope)
            .setHolder(holder)
            .setObservedOffset(lease.getLastOffset())
            .setTtlMs(ttlMs)
            .build());
  }

  /**
   * Stops claiming, and treats the lease as no longer held from now on.
   *
   * @return the lease to release in the log, or empty if this process does not hold it
   */
  public synchronized Optional<LeaseState> resign() {
    resigned = true;
    heldUntilMs = Long.MIN_VALUE;
    return Optional.of(lease).filter(l -> l.getHolder().equals(holder) && !l.getReleased());
  }

  /** Claims again after {@link #resign}. */
  public synchronized void resume() {
    resigned = false;
  }

  /**
   * Returns the time for which this process certainly holds the lease, in milliseconds; 0 or less
   * if it does not.
   */
  public synchronized long remainingMs(long nowMs) {
    return heldUntilMs == Long.MIN_VALUE ? 0 : heldUntilMs - nowMs;
  }

  /** Returns the epoch of the lease, which is its fencing token. */
  public synchronized long epoch() {
    return lease.getEpoch();
  }

  /** Returns the scope that the lease covers. */
  public String scope() {
    return scope;
  }

  /**
   * Checks that the lease remains held for the duration of an effect.
   *
   * @param nowMs present time, read immediately before the effect
   * @param sendLimitMs maximum duration of the effect, in milliseconds
   * @return the fencing token that the effect must carry
   * @throws MarigoldmillException of kind INTERNAL if the lease is not held for that long
   */
  public synchronized long requireHeld(long nowMs, long sendLimitMs) {
    if (remainingMs(nowMs) < sendLimitMs) {
      throw MarigoldmillException.of(
          ErrorKind.INTERNAL,
          "lease of "
              + scope
              + ": expected "
              + sendLimitMs
              + " ms remaining but had "
              + remainingMs(nowMs));
    }
    return lease.getEpoch();
  }

  private boolean isClaimDue(long nowMs, long challengeDelayMs) {
    boolean mine = lease.getHolder().equals(holder) && !lease.getReleased();
    if (mine) {
      return nowMs - lastClaimAtMs >= ttlMs / 3;
    }
    boolean vacant = lease.getReleased() || lease.getLastOffset() == 0;
    long waitMs = vacant ? 0 : Math.max(lease.getTtlMs(), ttlMs) + guardMs;
    boolean claimedRecently = lastClaimAtMs != Long.MIN_VALUE && nowMs - lastClaimAtMs < ttlMs / 3;
    return nowMs - observedAtMs >= waitMs + challengeDelayMs && !claimedRecently;
  }
}
