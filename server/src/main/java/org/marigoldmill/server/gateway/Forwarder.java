package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
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
  private static final long CONNECT_MS = 300;
  private static final long SHORTEST_ATTEMPT_MS = 5;
  private static final long FIRST_ATTEMPT_MS = 350;
  private static final int MOST_REFUSALS = 6;
  private static final long REFUSAL_PAUSE_MS = 15;
  private static final long RETRY_AFTER_MS = 200;

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
      Cancellation cancellation) {}

  /**
   * What became of a request.
   *
   * @param answer the upstream's whole answer, if there is one
   * @param kind why there is none
   * @param retryAfterMs when to come back, in milliseconds
   * @param ran whether an upstream has begun to run it for certain
   * @param attempts attempts made
   * @param failures answers of status 500 among them
   * @param engine upstream of the last attempt
   */
  public record Outcome(
      Optional<HttpAnswer> answer,
      ErrorKind kind,
      long retryAfterMs,
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
    private int attempts;
    private int refusals;
    private int failures;
    private boolean maybeRun;
    private boolean ran;
    private String engine = "";
    private ErrorKind kind = ErrorKind.NO_UPSTREAM;
    private Optional<HttpAnswer> answer = Optional.empty();

    private Carriage(Request request) {
      this.request = request;
    }

    private Outcome run() {
      boolean more = true;
      while (more) {
        more = step();
      }
      return new Outcome(answer, kind, RETRY_AFTER_MS, ran, attempts, failures, engine);
    }

    /** Makes one attempt; returns whether to go on. */
    private boolean step() {
      long remaining = request.deadline() - clock.now();
      if (remaining < SHORTEST_ATTEMPT_MS) {
        kind = maybeRun ? ErrorKind.UPSTREAM_SILENT : ErrorKind.DEADLINE_EXPIRED;
        return false;
      }
      if (request.cancellation().cancelled()) {
        kind = maybeRun ? ErrorKind.UPSTREAM_LOST : ErrorKind.NO_UPSTREAM;
        return false;
      }
      if (crashes.holds(request)) {
        logger.atInfo().log("request quarantined id=%s", request.id());
        kind = maybeRun ? ErrorKind.UPSTREAM_LOST : ErrorKind.NO_UPSTREAM;
        return false;
      }
      Optional<Picked> chosen = choose();
      if (chosen.isEmpty()) {
        return false;
      }
      engine = chosen.get().engine().id();
      visited.add(engine);
      boolean again = attempt(chosen.get(), remaining);
      return again && attempts < request.route().maxAttempts() && refusals < MOST_REFUSALS;
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

    private boolean attempt(Picked chosen, long remaining) {
      Engine target = chosen.engine();
      PlatformInstance instance = chosen.instance();
      attempts++;
      Attempt attempt =
          new Attempt(
              request.id(),
              target.id(),
              request.host(),
              request.method(),
              request.path(),
              request.headers(),
              request.body(),
              request.organisation(),
              OptionalLong.empty(),
              remaining);
      long patience = request.route().repeatable() ? patience(remaining) : remaining;
      HttpCall call = sender.protocol().call(target.address(), attempt);
      HttpCall timed =
          call.timeouts(CONNECT_MS, patience, patience)
              .freshIf(!request.route().repeatable())
              .cancelledBy(request.cancellation());
      try {
        HttpAnswer got = sender.exchange(timed, attempt);
        return judge(instance, got);
      } catch (CallFailure e) {
        upstreams.failed(instance, clock.now());
        crashes.lost(request, target, e);
        return lost(e);
      } catch (RuntimeException e) {
        upstreams.released(instance);
        throw e;
      }
    }

    /** A first attempt leaves time for a second one. */
    private long patience(long remaining) {
      boolean last = attempts >= request.route().maxAttempts();
      return last ? remaining : Math.min(remaining, Math.max(FIRST_ATTEMPT_MS, remaining / 2));
    }

    private boolean judge(PlatformInstance instance, HttpAnswer got) {
      UpstreamProtocol protocol = sender.protocol();
      if (protocol.notRun(got.status(), got.headers())) {
        upstreams.released(instance);
        attempts--;
        refusals++;
        kind = maybeRun ? ErrorKind.UPSTREAM_LOST : ErrorKind.NO_UPSTREAM;
        logger.atInfo().log(
            "attempt refused id=%s engine=%s status=%d refusals=%d",
            request.id(), instance.getName(), got.status(), refusals);
        return true;
      }
      ran = true;
      maybeRun = true;
      crashes.survived(request);
      if (got.status() == 500 && protocol.proof(got.headers()).isPresent()) {
        failures++;
      }
      boolean good = got.successful() && protocol.proof(got.headers()).isPresent();
      boolean final4xx = got.status() >= 400 && got.status() < 500;
      if (good || final4xx) {
        upstreams.succeeded(instance);
        answer = Optional.of(got);
        return false;
      }
      upstreams.failed(instance, clock.now());
      logger.atInfo().log(
          "attempt failed id=%s engine=%s status=%d attempt=%d",
          request.id(), instance.getName(), got.status(), attempts);
      boolean relay = protocol.proof(got.headers()).isPresent() && !promises(got.status());
      answer = relay && !got.successful() ? Optional.of(got) : Optional.empty();
      kind = ErrorKind.UPSTREAM_LOST;
      return request.route().repeatable();
    }

    private boolean lost(CallFailure failure) {
      boolean notSent = failure.sent() == CallFailure.Sent.NOT_SENT;
      maybeRun |= !notSent;
      answer = Optional.empty();
      boolean silent = failure.reason() == CallFailure.Reason.SILENT;
      if (maybeRun) {
        kind = silent ? ErrorKind.UPSTREAM_SILENT : ErrorKind.UPSTREAM_LOST;
      } else {
        kind = ErrorKind.NO_UPSTREAM;
      }
      logger.atInfo().log(
          "attempt lost id=%s engine=%s attempt=%d reason=%s sent=%s",
          request.id(), engine, attempts, failure.reason(), failure.sent());
      if (notSent) {
        attempts--;
        refusals++;
      }
      return notSent || request.route().repeatable();
    }
  }

  /** Statuses that tell a caller that its request has not run. */
  private static boolean promises(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }
}
