package org.marigoldmill.http;

import java.net.InetSocketAddress;

/** Is told what becomes of the connections and calls of a client; must return quickly. */
public interface ConnectionObserver {
  /** Ignores everything. */
  ConnectionObserver NONE = new ConnectionObserver() {};

  /** Called when a new connection has been established. */
  default void connected(InetSocketAddress address) {}

  /**
   * Called when a new connection takes unusually long; its outcome follows.
   *
   * @param elapsedMs time since the attempt began, in milliseconds
   */
  default void connectSlow(InetSocketAddress address, long elapsedMs) {}

  /**
   * Called when a new connection was refused, or not established in time.
   *
   * @param elapsedMs time since the attempt began, in milliseconds
   * @param refused whether it was refused, as opposed to no answer in time
   */
  default void notConnected(InetSocketAddress address, long elapsedMs, boolean refused) {}

  /** Called when a call starts. */
  default void callStarted() {}

  /** Called when a part of a response has arrived. */
  default void bytesReceived() {}

  /** Called once for each call that has started, when it has ended or failed. */
  default void callEnded() {}
}
