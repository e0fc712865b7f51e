package org.marigoldmill.core.attempt;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** Claims on non-idempotent requests that this process holds for its peers. */
public final class ClaimTable {
  private static final long KEPT_MS = 600_000;
  private static final int MOST_KEPT = 200_000;

  private record Claim(String claimant, long at) {}

  private final Map<String, Claim> claims = new HashMap<>();

  /**
   * Grants a claim unless another claimant has it.
   *
   * @param fingerprint identity of the request
   * @param claimant identity of the attempt to take it on
   * @param now present time in milliseconds
   * @return whether the claimant may run the request; false as well when the table is full
   */
  public synchronized boolean claim(String fingerprint, String claimant, long now) {
    Claim held = claims.get(fingerprint);
    if (held != null && now - held.at() <= KEPT_MS) {
      return held.claimant().equals(claimant);
    }
    if (claims.size() >= MOST_KEPT && !dropExpired(now)) {
      return false;
    }
    claims.put(fingerprint, new Claim(claimant, now));
    return true;
  }

  /** Gives up a claim whose request surely has not run. */
  public synchronized void release(String fingerprint, String claimant) {
    Claim held = claims.get(fingerprint);
    if (held != null && held.claimant().equals(claimant)) {
      claims.remove(fingerprint);
    }
  }

  private boolean dropExpired(long now) {
    int before = claims.size();
    for (Iterator<Claim> i = claims.values().iterator(); i.hasNext(); ) {
      if (now - i.next().at() > KEPT_MS) {
        i.remove();
      }
    }
    return claims.size() < before;
  }
}
