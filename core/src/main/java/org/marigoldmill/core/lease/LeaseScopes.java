package org.marigoldmill.core.lease;

/** Names of what leases are about; duties are split by zone, so that no holder carries all. */
public final class LeaseScopes {
  /** Appending snapshots of the reduced log. */
  public static final String SNAPSHOT = "snapshot";

  private LeaseScopes() {}

  /** Returns the scope of ordering upstreams for a zone. */
  public static String ordering(String zone) {
    return "ordering/" + zone;
  }

  /** Returns the scope of reporting the usage that a zone has counted. */
  public static String billing(String zone) {
    return "billing/" + zone;
  }
}
