package org.marigoldmill.core.lease;

/** Scopes of leases; duties are split by zone, so that no single holder has all of them. */
public final class LeaseScopes {
  /** Scope of appending snapshots of the reduced state to the log. */
  public static final String SNAPSHOT = "snapshot";

  private LeaseScopes() {}

  /** Returns the scope of ordering upstreams for a zone. */
  public static String ordering(String zone) {
    return "ordering/" + zone;
  }

  /** Returns the scope of reporting the usage counted in a zone. */
  public static String billing(String zone) {
    return "billing/" + zone;
  }
}
