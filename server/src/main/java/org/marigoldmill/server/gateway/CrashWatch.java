package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.quarantine.RequestFingerprint;
import org.marigoldmill.core.quarantine.SuspectTable;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Pause;
import org.marigoldmill.server.duty.FleetLog;

/**
 * Notices requests that crash the upstreams that run them, and tells the other instances.
 *
 * <p>An upstream has crashed when it cut a connection in mid-request and refuses a new one. That is
 * looked up beside the request, so that an ordinary cut delays nothing.
 */
public final class CrashWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A dying process may cut its connections a little before it stops listening. */
  private static final long DYING_MS = 60;

  private final SuspectTable suspects;
  private final HttpClient client;
  private final FleetLog fleet;
  private final Executor executor;
  private final Clock clock;

  /** Creates the watch of one process; looks run on an executor. */
  public CrashWatch(
      SuspectTable suspects, HttpClient client, FleetLog fleet, Executor executor, Clock clock) {
    this.suspects = suspects;
    this.client = client;
    this.fleet = fleet;
    this.executor = executor;
    this.clock = clock;
  }

  /** Returns whether a request must not run, because it has crashed several upstreams. */
  boolean holds(Forwarder.Request request) {
    return !suspects.isEmpty() && suspects.quarantined(fingerprint(request), clock.now());
  }

  /** Takes in an attempt that was answered. */
  void survived(Forwarder.Request request) {
    if (!suspects.isEmpty()) {
      suspects.survived(fingerprint(request), clock.now());
    }
  }

  /** Takes in an attempt that was lost. */
  void lost(Forwarder.Request request, Engine engine, HttpCallException failure) {
    if (!failure.connectionLostMidRequest() || request.cancellation().isCancelled()) {
      return;
    }
    try {
      executor.execute(() -> look(request, engine));
    } catch (RejectedExecutionException e) {
      logger.atWarning().log("crash not looked up id=%s cause=no thread", request.id());
    }
  }

  private void look(Forwarder.Request request, Engine engine) {
    if (Pause.millis(DYING_MS) && !client.canConnect(engine.address())) {
      boolean held = suspects.crashed(fingerprint(request), engine.id(), clock.now());
      logger.atInfo().log(
          "upstream crashed under a request id=%s engine=%s quarantined=%s",
          request.id(), engine.id(), held);
      fleet.crashed(fingerprint(request), engine.id());
    }
  }

  private static String fingerprint(Forwarder.Request request) {
    return RequestFingerprint.of(
        request.organisation().orElse(""), request.host(), request.path(), request.body());
  }
}
