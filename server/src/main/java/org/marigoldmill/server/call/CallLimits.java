package org.marigoldmill.server.call;

/** Limits of a pool that depend on the declaration in force. */
@FunctionalInterface
interface CallLimits {
  /** Returns the most requests outstanding at one upstream of a pool from here. */
  int perUpstream(String pool);
}
