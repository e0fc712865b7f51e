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
import org.marigoldmill.server.duty.CrashLog;
import org.marigoldmill.server.reachability.UpstreamPathMonitor;

/**
 * Detects requests that crash the upstreams that run them, and informs the other instances.
 *
 * <p>An upstream counts as crashed if it closed a connection in mid-request and refuses a new one,
 * while another upstream accepts one. The probe runs asynchronously, so that an ordinary disconnect
 * does not delay the request.
 */
public final class CrashDetector {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A crashing process may close its connections slightly before it stops listening. */
  private static final long PROBE_DELAY_MS = 60;

  private final SuspectTable suspects;
  private final HttpClient client;
  private final CrashLog crashes;
  private final UpstreamPathMonitor path;
  private final Executor executor;
  private final Clock clock;

  /**
   * Creates a detector.
   *
   * @param path tells whether this instance reaches other upstreams
   * @param executor runs the probes
   */
  public CrashDetector(
      SuspectTable suspects,
      HttpClient client,
      CrashLog crashes,
      UpstreamPathMonitor path,
      Executor executor,
      Clock clock) {
    this.suspects = suspects;
    this.client = client;
    this.crashes = crashes;
    this.path = path;
    this.executor = executor;
    this.clock = clock;
  }

  /** Returns whether a request must not run because it has crashed several upstreams. */
  boolean isQuarantined(Forwarder.Request request) {
    return !suspects.isEmpty() && suspects.isQuarantined(fingerprint(request), clock.now());
  }

  /** Notes that an upstream answered a request. */
  void recordAnswer(Forwarder.Request request) {
    if (!suspects.isEmpty()) {
      suspects.recordSuccess(fingerprint(request), clock.now());
    }
  }

  /** Probes the upstream if its connection was closed in mid-request. */
  void recordLostAttempt(Forwarder.Request request, Engine engine, HttpCallException failure) {
    if (!failure.connectionLostMidRequest() || request.cancellation().isCancelled()) {
      return;
    }
    try {
      executor.execute(() -> probe(request, engine));
    } catch (RejectedExecutionException e) {
      logger.atWarning().log("crash probe skipped id=%s cause=no free thread", request.id());
    }
  }

  private void probe(Forwarder.Request request, Engine engine) {
    if (!Pause.millis(PROBE_DELAY_MS) || client.canConnect(engine.address())) {
      return;
    }
    if (!path.reachesOthers(engine.address(), client)) {
      logger.atInfo().log(
          "upstream not suspected of a crash id=%s engine=%s cause=no other one is reached",
          request.id(), engine.id());
      return;
    }
    boolean quarantined = suspects.recordCrash(fingerprint(request), engine.id(), clock.now());
    logger.atInfo().log(
        "upstream crashed while running a request id=%s engine=%s quarantined=%s",
        request.id(), engine.id(), quarantined);
    crashes.publishCrash(fingerprint(request), engine.id());
  }

  private static String fingerprint(Forwarder.Request request) {
    return RequestFingerprint.of(
        request.organisation().orElse(""), request.host(), request.path(), request.body());
  }
}
