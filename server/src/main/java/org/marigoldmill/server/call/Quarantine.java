package org.marigoldmill.server.call;

import java.util.concurrent.CompletableFuture;
import org.marigoldmill.core.quarantine.RequestFingerprint;
import org.marigoldmill.core.quarantine.SuspectTable;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Pause;

/**
 * Prevents requests that crash upstreams from running again.
 *
 * <p>An upstream counts as crashed if a connection to it is lost during a request and it refuses a
 * new connection.
 */
public final class Quarantine {
  private static final int MAX_PROBES = 4;
  private static final long PROBE_INTERVAL_MS = 25;

  private final SuspectTable suspects;
  private final HttpClient client;
  private final Runnable notifyPeers;
  private final Clock clock;

  /** Creates a quarantine that runs {@code notifyPeers} after every crash. */
  public Quarantine(SuspectTable suspects, HttpClient client, Runnable notifyPeers, Clock clock) {
    this.suspects = suspects;
    this.client = client;
    this.notifyPeers = notifyPeers;
    this.clock = clock;
  }

  /** Returns whether the request of a call is quarantined and must not run. */
  boolean isQuarantined(CallContext call) {
    return !suspects.isEmpty() && suspects.isQuarantined(fingerprint(call), clock.now());
  }

  /** Records a failed attempt; returns whether the request is quarantined as a result. */
  boolean recordFailure(CallContext call, PlatformInstance upstream, HttpCallException failure) {
    if (!failure.connectionLostMidRequest() || !refusesConnections(upstream)) {
      return false;
    }
    boolean quarantined = suspects.recordCrash(fingerprint(call), upstream.getName(), clock.now());
    var unused = CompletableFuture.runAsync(notifyPeers);
    return quarantined;
  }

  /** Probes repeatedly: a crashing process may close connections before it stops listening. */
  private boolean refusesConnections(PlatformInstance upstream) {
    for (int i = 0; i < MAX_PROBES; i++) {
      if (!client.canConnect(upstream.getAddress())) {
        return true;
      }
      Pause.millis(PROBE_INTERVAL_MS);
    }
    return false;
  }

  /** Records an attempt that the upstream answered. */
  void recordSuccess(CallContext call) {
    if (!suspects.isEmpty()) {
      suspects.recordSuccess(fingerprint(call), clock.now());
    }
  }

  private static String fingerprint(CallContext call) {
    return RequestFingerprint.of(
        call.organisation(), call.service().getName(), call.path(), call.body());
  }
}
