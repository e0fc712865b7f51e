package org.marigoldmill.server.call;

/** Limits that the declaration in force sets for a pool. */
@FunctionalInterface
interface CallLimits {
  /** Returns the maximum number of requests that this process has open at an upstream. */
  int maxOutstandingPerUpstream(String pool);
}
