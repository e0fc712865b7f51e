package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.marigoldmill.core.attempt.AttemptRecord;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.http.CallFailure;
import org.marigoldmill.http.Cancellation;
import org.marigoldmill.http.HttpAnswer;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Pause;
import org.marigoldmill.server.deployment.UpstreamProtocol;
import org.marigoldmill.server.deployment.UpstreamProtocol.Attempt;
import org.marigoldmill.server.gateway.UpstreamPicker.Picked;

/** Carries requests to upstreams, with further attempts where the route allows them. */
public final class Forwarder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long SHORTEST_ATTEMPT_MS = 5;
  private static final long FIRST_ATTEMPT_MS = 350;
  private static final long REFUSAL_PAUSE_MS = 15;

  /** Time after which a caller that was refused may come back, in milliseconds. */
  static final long RETRY_AFTER_MS = 200;

  /**
   * A request to carry.
   *
   * @param id id that the caller gave
   * @param route route that it came by
   * @param service service that runs it
   * @param host host that the caller named
   * @param method HTTP method
   * @param path path and query
   * @param headers headers for the upstream
   * @param body whole body
   * @param organisation organisation that it runs for, if any
   * @param deadline time until which the caller waits
   * @param cancellation cut when the caller has left
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Request(
      String id,
      Route route,
      String service,
      String host,
      String method,
      String path,
      List<HttpCall.Header> headers,
      byte[] body,
      Optional<String> organisation,
      long deadline,
      Cancellation cancellation) {

    /** Returns an attempt at an upstream, which goes on after an event where there is one. */
    Attempt attempt(String upstream, OptionalLong resumeAfter, long remainingMs) {
      return new Attempt(
          id, upstream, host, method, path, headers, body, organisation, resumeAfter, remainingMs);
    }
  }

  /**
   * What became of a request.
   *
   * @param answer the upstream's whole answer, if there is one
   * @param kind why there is none
   * @param ran whether an upstream has begun to run it for certain
   * @param attempts attempts made
   * @param failures answers of status 500 among them
   * @param engine upstream of the last attempt
   */
  public record Outcome(
      Optional<HttpAnswer> answer,
      ErrorKind kind,
      boolean ran,
      int attempts,
      int failures,
      String engine) {}

  private final UpstreamPicker picker;
  private final UpstreamTable upstreams;
  private final UpstreamSender sender;
  private final CrashWatch crashes;
  private final Clock clock;

  /** Creates a forwarder that sends to the upstreams of a picker. */
  public Forwarder(
      UpstreamPicker picker,
      UpstreamTable upstreams,
      UpstreamSender sender,
      CrashWatch crashes,
      Clock clock) {
    this.picker = picker;
    this.upstreams = upstreams;
    this.sender = sender;
    this.crashes = crashes;
    this.clock = clock;
  }

  /** Carries a request and returns once it has been answered or given up. */
  public Outcome forward(Request request) {
    return new Carriage(request).run();
  }

  /** The attempts of one request. */
  private final class Carriage {
    private final Request request;
    private final Set<String> visited = new HashSet<>();
    private final AttemptRecord record;
    private String engine = "";
    private Optional<HttpAnswer> answer = Optional.empty();

    private Carriage(Request request) {
      this.request = request;
      this.record = new AttemptRecord(request.route().repeatable(), request.route().maxAttempts());
    }

    private Outcome run() {
      boolean sent = true;
      while (sent && record.maySend()) {
        sent = step();
      }
      return new Outcome(
          answer, record.kind(), record.ran(), record.attempts(), record.failures(), engine);
    }

    /** Makes one attempt; returns whether the request was sent. */
    private boolean step() {
      long remaining = request.deadline() - clock.now();
      if (remaining < SHORTEST_ATTEMPT_MS) {
        record.expired();
        return false;
      }
      if (request.cancellation().cancelled()) {
        record.withdrawn();
        return false;
      }
      if (crashes.holds(request)) {
        logger.atInfo().log("request quarantined id=%s", request.id());
        record.withdrawn();
        return false;
      }
      Optional<Picked> chosen = choose();
      if (chosen.isEmpty()) {
        return false;
      }
      engine = chosen.get().engine().id();
      visited.add(engine);
      attempt(chosen.get(), remaining);
      return true;
    }

    /** Upstreams that were tried come again once all have been, after a pause. */
    private Optional<Picked> choose() {
      Optional<Picked> chosen = picker.pick(request.service(), name -> !visited.contains(name));
      if (chosen.isEmpty() && !visited.isEmpty()) {
        visited.clear();
        Pause.millis(REFUSAL_PAUSE_MS);
        chosen = picker.pick(request.service(), name -> true);
      }
      return chosen;
    }

    private void attempt(Picked chosen, long remaining) {
      Engine target = chosen.engine();
      PlatformInstance instance = chosen.instance();
      record.sent();
      Attempt attempt = request.attempt(target.id(), OptionalLong.empty(), remaining);
      long patience = request.route().repeatable() ? patience(remaining) : remaining;
      HttpCall call = sender.protocol().attemptCall(target.address(), attempt);
      HttpCall timed =
          call.timeouts(UpstreamSender.CONNECT_MS, patience, patience)
              .freshIf(!request.route().repeatable())
              .cancelledBy(request.cancellation());
      try {
        HttpAnswer got = sender.exchange(timed, attempt);
        judge(instance, got);
      } catch (CallFailure e) {
        upstreams.failed(instance, clock.now());
        crashes.lost(request, target, e);
        lost(e);
      } catch (RuntimeException e) {
        upstreams.released(instance);
        throw e;
      }
    }

    /** A first attempt leaves time for a second one. */
    private long patience(long remaining) {
      return record.last()
          ? remaining
          : Math.min(remaining, Math.max(FIRST_ATTEMPT_MS, remaining / 2));
    }

    private void judge(PlatformInstance instance, HttpAnswer got) {
      UpstreamProtocol protocol = sender.protocol();
      if (protocol.notRun(got.status(), got.headers())) {
        upstreams.released(instance);
        record.notRun();
        logger.atInfo().log(
            "attempt refused id=%s engine=%s status=%d refusals=%d",
            request.id(), instance.getName(), got.status(), record.refusals());
        return;
      }
      crashes.survived(request);
      boolean proven = protocol.proof(got.headers()).isPresent();
      boolean final4xx = got.status() >= 400 && got.status() < 500;
      if ((got.successful() && proven) || final4xx) {
        upstreams.succeeded(instance);
        record.answered();
        answer = Optional.of(got);
        return;
      }
      upstreams.failed(instance, clock.now());
      record.failed(got.status() == 500 && proven);
      logger.atInfo().log(
          "attempt failed id=%s engine=%s status=%d attempt=%d",
          request.id(), instance.getName(), got.status(), record.attempts());
      boolean relay = proven && !promises(got.status()) && !got.successful();
      answer = relay ? Optional.of(got) : Optional.empty();
    }

    private void lost(CallFailure failure) {
      answer = Optional.empty();
      logger.atInfo().log(
          "attempt lost id=%s engine=%s attempt=%d reason=%s sent=%s",
          request.id(), engine, record.attempts(), failure.reason(), failure.sent());
      if (failure.sent() == CallFailure.Sent.NOT_SENT) {
        record.notRun();
      } else {
        record.lost(failure.reason() == CallFailure.Reason.SILENT);
      }
    }
  }

  /** Statuses that tell a caller that its request has not run. */
  private static boolean promises(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }
}
