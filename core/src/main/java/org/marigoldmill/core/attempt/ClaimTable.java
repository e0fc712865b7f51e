package org.marigoldmill.core.attempt;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Table of the claims by which peers ask to execute a non-idempotent request; grants each request
 * to one claimant only.
 */
public final class ClaimTable {
  private static final long RETENTION_MS = 600_000;
  private static final int MAX_CLAIMS = 200_000;

  private record Claim(String claimant, long claimedAtMs) {}

  private final Map<String, Claim> claims = new HashMap<>();

  /**
   * Grants a claim unless another claimant holds it.
   *
   * @param fingerprint fingerprint of the request
   * @param claimant identifier of the claimant, unique for each attempt to claim
   * @param nowMs present time in milliseconds
   * @return whether the claimant may run the request; false also when the table is full
   */
  public synchronized boolean claim(String fingerprint, String claimant, long nowMs) {
    Claim held = claims.get(fingerprint);
    if (held != null && nowMs - held.claimedAtMs() <= RETENTION_MS) {
      return held.claimant().equals(claimant);
    }
    if (claims.size() >= MAX_CLAIMS && !removeExpired(nowMs)) {
      return false;
    }
    claims.put(fingerprint, new Claim(claimant, nowMs));
    return true;
  }

  /** Releases a claim, after its request has certainly not run. */
  public synchronized void release(String fingerprint, String claimant) {
    Claim held = claims.get(fingerprint);
    if (held != null && held.claimant().equals(claimant)) {
      claims.remove(fingerprint);
    }
  }

  private boolean removeExpired(long nowMs) {
    int before = claims.size();
    for (Iterator<Claim> i = claims.values().iterator(); i.hasNext(); ) {
      if (nowMs - i.next().claimedAtMs() > RETENTION_MS) {
        i.remove();
      }
    }
    return claims.size() < before;
  }
}
