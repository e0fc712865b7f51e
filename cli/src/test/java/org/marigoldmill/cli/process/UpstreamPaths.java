package org.marigoldmill.cli.process;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The paths of one instance to all upstreams, which a test can cut together. */
public final class UpstreamPaths implements AutoCloseable {
  /** What happens to connections to upstreams. */
  public enum Cut {
    /** New connections hang, open ones are silent. */
    HANG,
    /** New connections are refused, open ones are reset. */
    REFUSE,
    /** New connections are refused, open ones live on. */
    REFUSE_NEW
  }

  private final Map<String, Relay> relays = new ConcurrentHashMap<>();

  /** Returns the address at which the instance finds the upstream of an address. */
  public String through(String upstream) {
    return relays.computeIfAbsent(upstream, Relay::new).address();
  }

  /** Cuts all paths. */
  public void cut(Cut how) {
    for (Relay relay : relays.values()) {
      if (how == Cut.HANG) {
        relay.silenceOpenConnections();
        relay.hangNewConnections();
      } else {
        relay.refuseNewConnections();
      }
      if (how == Cut.REFUSE) {
        relay.resetOpenConnections();
      }
    }
  }

  /** Ends the cut; connections that were silent stay so. */
  public void heal() {
    relays.values().forEach(Relay::heal);
  }

  @Override
  public void close() {
    relays.values().forEach(Relay::close);
  }
}
