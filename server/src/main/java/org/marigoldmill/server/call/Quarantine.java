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
 * Keeps requests that crash their upstreams from running again.
 *
 * <p>An upstream has crashed when it cut a connection in mid-request and refuses a new one.
 */
public final class Quarantine {
  private static final int PROBES = 4;
  private static final long PROBE_PAUSE_MS = 25;

  private final SuspectTable suspects;
  private final HttpClient client;
  private final Runnable tellPeers;
  private final Clock clock;

  /** Creates the quarantine of one process; news of a crash go to the peers at once. */
  public Quarantine(SuspectTable suspects, HttpClient client, Runnable tellPeers, Clock clock) {
    this.suspects = suspects;
    this.client = client;
    this.tellPeers = tellPeers;
    this.clock = clock;
  }

  /** Returns whether a call must not run. */
  boolean holds(CallContext call) {
    return !suspects.isEmpty() && suspects.isQuarantined(fingerprint(call), clock.now());
  }

  /** Takes in a failed attempt; returns whether the call must not run again. */
  boolean failed(CallContext call, PlatformInstance upstream, HttpCallException failure) {
    if (!failure.connectionLostMidRequest() || !refusesConnections(upstream)) {
      return false;
    }
    boolean quarantined = suspects.recordCrash(fingerprint(call), upstream.getName(), clock.now());
    var unused = CompletableFuture.runAsync(tellPeers);
    return quarantined;
  }

  /** A dying process may cut its connections a little before it stops listening. */
  private boolean refusesConnections(PlatformInstance upstream) {
    for (int i = 0; i < PROBES; i++) {
      if (!client.canConnect(upstream.getAddress())) {
        return true;
      }
      Pause.millis(PROBE_PAUSE_MS);
    }
    return false;
  }

  /** Takes in an attempt that was answered. */
  void survived(CallContext call) {
    if (!suspects.isEmpty()) {
      suspects.recordSuccess(fingerprint(call), clock.now());
    }
  }

  private static String fingerprint(CallContext call) {
    return RequestFingerprint.of(
        call.organisation(), call.service().getName(), call.path(), call.body());
  }
}
