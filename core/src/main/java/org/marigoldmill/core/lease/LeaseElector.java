package org.marigoldmill.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.schema.log.LeaseClaim;
import org.marigoldmill.schema.log.LeaseState;

/**
 * One process's view of one lease: when to claim, when to renew, and whether it is in charge.
 *
 * <p>The holder counts its lease from before it sent the claim that was accepted. A challenger
 * counts from when it read the last accepted claim, and waits the guard on top. Times are readings
 * of a monotonic clock in milliseconds.
 */
public final class LeaseElector {
  private final String scope;
  private final String holder;
  private final long ttlMs;
  private final long guardMs;
  private final Map<String, Long> sentAt = new HashMap<>();
  private LeaseState lease = LeaseState.getDefaultInstance();
  private long readAt;
  private long heldUntil = Long.MIN_VALUE;
  private long lastAttemptAt = Long.MIN_VALUE;
  private boolean yielding;

  private LeaseElector(String scope, String holder, long ttlMs, long guardMs, long now) {
    this.scope = scope;
    this.holder = holder;
    this.ttlMs = ttlMs;
    this.guardMs = guardMs;
    this.readAt = now;
  }

  /**
   * Creates a keeper.
   *
   * @param scope what the lease is about
   * @param holder this process, different in each of its lives
   * @param ttlMs time for which a claim holds, in milliseconds
   * @param guardMs extra wait of a challenger, in milliseconds
   * @param now present time
   * @return a keeper that holds nothing
   */
  public static LeaseElector of(String scope, String holder, long ttlMs, long guardMs, long now) {
    return new LeaseElector(scope, holder, ttlMs, guardMs, now);
  }

  /** Takes in the reduced state of the lease, as read at {@code now}. */
  public synchronized void observe(Optional<LeaseState> state, long now) {
    LeaseState seen = state.orElse(LeaseState.getDefaultInstance());
    if (seen.getLastOffset() <= lease.getLastOffset()) {
      return;
    }
    lease = seen;
    readAt = now;
    Long sent = sentAt.get(seen.getLastAppendId());
    boolean mine = !seen.getReleased() && seen.getHolder().equals(holder);
    if (mine && sent != null) {
      heldUntil = sent + ttlMs;
    } else if (!mine) {
      heldUntil = Long.MIN_VALUE;
    }
    sentAt.clear();
  }

  /**
   * Returns the claim to append now, if any, and notes it as sent.
   *
   * @param appendId identity of the record that will carry the claim
   * @param now present time, taken before the record is sent
   * @param courtesyMs extra wait of a challenger that others precede, in milliseconds
   * @return the claim, or empty when nothing is due
   */
  public synchronized Optional<LeaseClaim> claimIfDue(String appendId, long now, long courtesyMs) {
    if (yielding || !due(now, courtesyMs)) {
      return Optional.empty();
    }
    lastAttemptAt = now;
    sentAt.put(appendId, now);
    return Optional.of(
        LeaseClaim.newBuilder()
            .setScope(scope)
            .setHolder(holder)
            .setObservedOffset(lease.getLastOffset())
            .setTtlMs(ttlMs)
            .build());
  }

  /** Stops claiming, and gives up the lease for this process's own decisions at once. */
  public synchronized Optional<LeaseState> resign() {
    yielding = true;
    heldUntil = Long.MIN_VALUE;
    return Optional.of(lease).filter(l -> l.getHolder().equals(holder) && !l.getReleased());
  }

  /**
   * Returns the milliseconds for which this process is surely in charge; 0 or less if it is not.
   */
  public synchronized long remainingMs(long now) {
    return heldUntil == Long.MIN_VALUE ? 0 : heldUntil - now;
  }

  /** Returns the fencing number of the lease held. */
  public synchronized long epoch() {
    return lease.getEpoch();
  }

  /** Returns what the lease is about. */
  public String scope() {
    return scope;
  }

  /**
   * Passes an effect that takes at most {@code sendLimitMs}.
   *
   * @param now present time, read immediately before the effect
   * @param sendLimitMs longest duration of the effect, in milliseconds
   * @return the fencing number that the effect must carry
   * @throws MarigoldmillException of kind INTERNAL when the rest of the lease is too short
   */
  public synchronized long requireHeld(long now, long sendLimitMs) {
    if (remainingMs(now) < sendLimitMs) {
      throw MarigoldmillException.of(
          ErrorKind.INTERNAL,
          "lease of " + scope + ": expected " + sendLimitMs + " ms but had " + remainingMs(now));
    }
    return lease.getEpoch();
  }

  private boolean due(long now, long courtesyMs) {
    boolean mine = lease.getHolder().equals(holder) && !lease.getReleased();
    if (mine) {
      return now - lastAttemptAt >= ttlMs / 3;
    }
    boolean vacant = lease.getReleased() || lease.getLastOffset() == 0;
    long wait = vacant ? 0 : Math.max(lease.getTtlMs(), ttlMs) + guardMs;
    boolean attempted = lastAttemptAt != Long.MIN_VALUE && now - lastAttemptAt < ttlMs / 3;
    return now - readAt >= wait + courtesyMs && !attempted;
  }
}
