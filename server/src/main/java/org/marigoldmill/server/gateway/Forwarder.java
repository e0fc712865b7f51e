package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.marigoldmill.core.attempt.AnswerRule;
import org.marigoldmill.core.attempt.AttemptTracker;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.limit.LimitWait;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.placement.AllowedZones;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.relay.RelayPeers.Peer;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.http.Cancellation;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Pause;
import org.marigoldmill.server.deployment.UpstreamProtocol;
import org.marigoldmill.server.deployment.UpstreamProtocol.Attempt;
import org.marigoldmill.server.deployment.UpstreamProtocol.UpstreamLoad;
import org.marigoldmill.server.gateway.UpstreamPicker.Pick;
import org.marigoldmill.server.gateway.UpstreamPicker.PickedUpstream;
import org.marigoldmill.server.reachability.UpstreamPathMonitor;
import org.marigoldmill.server.relay.RelayClient;
import org.marigoldmill.server.relay.RelayOrder;
import org.marigoldmill.server.relay.RelayProtocol;

/** Forwards requests to upstreams, with retries where the route allows them. */
public final class Forwarder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long MIN_ATTEMPT_MS = 5;
  private static final long MIN_FIRST_ATTEMPT_MS = 350;
  private static final long RETRY_DELAY_MS = 15;

  /** Status of an upstream that is full. */
  private static final int UNAVAILABLE_STATUS = 503;

  /** Retry-After that a refused caller gets, in milliseconds. */
  static final long RETRY_AFTER_MS = 200;

  /**
   * A request to forward.
   *
   * @param id request id set by the caller
   * @param route route that the request matched
   * @param service service that runs the request
   * @param host host name in the caller's request
   * @param method HTTP method
   * @param path path and query
   * @param headers headers to send to the upstream
   * @param body complete body
   * @param organisation organisation of the caller, if the route requires a key
   * @param urgency which requests go first at an upstream with a request limit
   * @param deadlineMs time on the monotonic clock until which the caller waits, in milliseconds
   * @param cancellation cancelled when the caller disconnects
   * @param relay lets another instance carry the request; empty if none may
   * @param zones zones in which the request may run and to whose instances it may be sent
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
      Urgency urgency,
      long deadlineMs,
      Cancellation cancellation,
      Optional<RelayOrder> relay,
      AllowedZones zones) {

    /** Returns whether an upstream is in a region where the request may run. */
    boolean mayRunAt(Engine upstream) {
      return zones.includes(upstream.zone());
    }

    /** Returns why no instance may carry the request. */
    ErrorKind unrelayed() {
      return zones.restricted() ? ErrorKind.REGION_UNAVAILABLE : ErrorKind.NO_UPSTREAM;
    }

    /**
     * Returns an attempt at an upstream.
     *
     * @param resumeAfter id of the event after which to resume a stream; empty to start anew
     * @param remainingMs time left until the caller's deadline, in milliseconds
     * @param announced urgency that the upstream is told, if any
     */
    Attempt attempt(
        Engine upstream, OptionalLong resumeAfter, long remainingMs, Optional<Urgency> announced) {
      return new Attempt(
          id,
          upstream.id(),
          upstream.incarnation(),
          host,
          method,
          path,
          headers,
          body,
          organisation,
          resumeAfter,
          remainingMs,
          announced);
    }

    /**
     * Returns the request as it is sent to another instance.
     *
     * @param attempts number of attempts that the other instance may make
     * @param resumeAfter id of the event after which to resume a stream; empty to start anew
     * @param progressTimeoutMs longest time without a byte, in milliseconds
     */
    RelayClient.Call relayCall(
        int attempts, OptionalLong resumeAfter, long remainingMs, long progressTimeoutMs) {
      return new RelayClient.Call(
          relay.orElseThrow(),
          method,
          path,
          body,
          attempts,
          resumeAfter,
          remainingMs,
          progressTimeoutMs,
          !route.retryable(),
          cancellation);
    }
  }

  /**
   * The outcome of a request.
   *
   * @param response complete response of the upstream, if any
   * @param kind reason for a missing response
   * @param ran whether an upstream has certainly started to run the request
   * @param attempts attempts that may have run
   * @param failures attempts that the upstream provably answered with status 500
   * @param engine upstream of the last attempt
   * @param retryAfterMs time after which a refused caller may come back, in milliseconds
   */
  public record Outcome(
      Optional<HttpResponse> response,
      ErrorKind kind,
      boolean ran,
      int attempts,
      int failures,
      String engine,
      long retryAfterMs) {}

  private final UpstreamPicker picker;
  private final UpstreamTable upstreams;
  private final UpstreamSender sender;
  private final CrashDetector crashDetector;
  private final UpstreamPathMonitor path;
  private final RelayClient relay;
  private final Optional<BackgroundGate> gate;
  private final Clock clock;

  /**
   * Creates a forwarder.
   *
   * @param gate where background requests wait for free slots; empty if they do not
   */
  public Forwarder(
      UpstreamPicker picker,
      UpstreamTable upstreams,
      UpstreamSender sender,
      CrashDetector crashes,
      UpstreamPathMonitor path,
      RelayClient relay,
      Optional<BackgroundGate> gate,
      Clock clock) {
    this.picker = picker;
    this.upstreams = upstreams;
    this.sender = sender;
    this.crashDetector = crashes;
    this.path = path;
    this.relay = relay;
    this.gate = gate;
    this.clock = clock;
  }

  /** Forwards a request; returns once a response is complete or no further attempt may follow. */
  public Outcome forward(Request request) {
    if (gate.isEmpty() || request.urgency() != Urgency.BACKGROUND) {
      return new AttemptLoop(request).run();
    }
    gate.get().enter(request.service(), request.deadlineMs() - clock.now());
    try {
      return new AttemptLoop(request).run();
    } finally {
      gate.get().leave(request.service());
    }
  }

  /** The attempts of one request. */
  private final class AttemptLoop {
    private final Request request;
    private final Set<String> tried = new HashSet<>();
    private final Set<String> triedPeers = new HashSet<>();
    private final AttemptTracker record;
    private String engine = "";
    private long retryAfterMs = RETRY_AFTER_MS;
    private Optional<HttpResponse> response = Optional.empty();

    private AttemptLoop(Request request) {
      this.request = request;
      this.record = new AttemptTracker(request.route().retryable(), request.route().maxAttempts());
    }

    private Outcome run() {
      boolean mayContinue = true;
      while (mayContinue && record.maySend()) {
        mayContinue = attemptNext();
      }
      return new Outcome(
          response,
          record.kind(),
          record.hasStarted(),
          record.attempts(),
          record.failures(),
          engine,
          retryAfterMs);
    }

    /** Work of a submission is owed, whatever upstreams crashed while they ran it. */
    private boolean mayBeQuarantined() {
      return request.urgency() == Urgency.CALL;
    }

    /** Makes one attempt; returns whether another may follow. */
    private boolean attemptNext() {
      long remainingMs = request.deadlineMs() - clock.now();
      if (remainingMs < MIN_ATTEMPT_MS) {
        record.recordDeadlineExpired();
        return false;
      }
      if (request.cancellation().isCancelled()) {
        record.recordCancelled();
        return false;
      }
      if (mayBeQuarantined() && crashDetector.isQuarantined(request)) {
        logger.atInfo().log("request quarantined id=%s", request.id());
        record.recordCancelled();
        return false;
      }
      if (relay.isNeeded()) {
        return sendThroughPeer(remainingMs);
      }
      Pick pick = pickUpstream(remainingMs);
      if (pick.picked().isEmpty()) {
        recordNoUpstream(pick);
        return false;
      }
      PickedUpstream upstream = pick.picked().get();
      if (!picker.awaitTurn(upstream)) {
        return true;
      }
      engine = upstream.engine().id();
      tried.add(engine);
      attempt(upstream, remainingMs - upstream.waitMs());
      return true;
    }

    /** Lets another instance carry the request; returns whether it was sent. */
    private boolean sendThroughPeer(long remainingMs) {
      Optional<Peer> chosen =
          request.relay().isPresent()
              ? relay.acquire(triedPeers, request.zones())
              : Optional.empty();
      if (chosen.isEmpty()) {
        record.recordUnavailable(request.unrelayed());
        return false;
      }
      Peer peer = chosen.get();
      triedPeers.add(peer.name());
      engine = "via-" + peer.name();
      int attempts = record.grantableAttempts();
      long timeoutMs =
          request.route().retryable()
              ? Math.max(MIN_FIRST_ATTEMPT_MS, remainingMs * 3 / 4)
              : remainingMs;
      RelayClient.Call call =
          request.relayCall(attempts, OptionalLong.empty(), remainingMs, timeoutMs);
      record.recordSent(attempts);
      try (HttpStream stream = relay.open(peer, call)) {
        HttpResponse received = HttpClient.readAll(stream, peer.name());
        evaluateRelayed(peer, relay.verdict(stream), received);
      } catch (HttpCallException e) {
        relay.recordLost(call, request.id(), peer, e);
        recordLost(e);
      }
      return true;
    }

    private void evaluateRelayed(Peer peer, RelayProtocol.Verdict verdict, HttpResponse received) {
      switch (verdict) {
        case ANSWERED -> {
          relay.recordAnswered(peer);
          if (AnswerRule.promisesNotRun(received.status())) {
            withholdAnswer(peer.name(), received.status());
            return;
          }
          record.recordAnsweredElsewhere();
          response =
              Optional.of(
                  new HttpResponse(
                      received.status(),
                      RelayProtocol.withoutRelayHeaders(received.headers()),
                      received.body()));
        }
        case NOT_RUN -> {
          relay.recordRefused(request.id(), peer);
          record.recordNotRun();
        }
        default -> {
          relay.recordAnswered(peer);
          record.recordLost(received.status() == ErrorKind.UPSTREAM_SILENT.status());
        }
      }
    }

    /** Prefers untried upstreams; once all have been tried, starts over after a delay. */
    private Pick pickUpstream(long remainingMs) {
      long maxWaitMs = LimitWait.maxMs(request.route(), remainingMs);
      Pick pick =
          picker.pick(
              request.service(),
              request.urgency(),
              e -> !tried.contains(e.id()) && request.mayRunAt(e),
              maxWaitMs);
      if (pick.picked().isEmpty() && !tried.isEmpty()) {
        tried.clear();
        Pause.millis(RETRY_DELAY_MS);
        pick = picker.pick(request.service(), request.urgency(), request::mayRunAt, maxWaitMs);
      }
      return pick;
    }

    private void recordNoUpstream(Pick pick) {
      if (pick.limited()) {
        retryAfterMs = LimitWait.retryAfterMs(pick.turnInMs(), request.id());
        logger.atInfo().log(
            "request beyond limits id=%s service=%s urgency=%s turn_in_ms=%s retry_after_ms=%d",
            request.id(), request.service(), request.urgency(), pick.turnInMs(), retryAfterMs);
      } else {
        record.recordUnavailable(picker.unavailability(request.service(), request.zones()));
      }
    }

    private void attempt(PickedUpstream picked, long remainingMs) {
      record.recordSent();
      Attempt attempt =
          request.attempt(
              picked.engine(),
              OptionalLong.empty(),
              remainingMs,
              picker.announced(request.urgency()));
      long timeoutMs = request.route().retryable() ? attemptTimeoutMs(remainingMs) : remainingMs;
      HttpCall call =
          sender
              .protocol()
              .attemptCall(picked.engine().address(), attempt)
              .timeouts(UpstreamSender.CONNECT_TIMEOUT_MS, timeoutMs, timeoutMs)
              .freshConnection(!request.route().retryable());
      if (!request.route().retryable()) {
        exchange(call.cancellation(request.cancellation()), attempt, picked, () -> false);
        return;
      }
      try (UpstreamPathMonitor.Watched watched = path.watch(request.cancellation())) {
        exchange(call.cancellation(watched.cancellation()), attempt, picked, watched::abandoned);
      }
    }

    /**
     * Sends an attempt and evaluates its response.
     *
     * @param abandoned whether the call was given up because no upstream is reached
     */
    private void exchange(
        HttpCall call, Attempt attempt, PickedUpstream picked, BooleanSupplier abandoned) {
      PlatformInstance instance = picked.instance();
      Engine target = picked.engine();
      try {
        HttpResponse received = sender.exchange(call, attempt);
        evaluate(instance, received);
      } catch (HttpCallException e) {
        if (abandoned.getAsBoolean()) {
          upstreams.release(instance);
          response = Optional.empty();
          record.recordAbandoned();
          logger.atInfo().log("attempt abandoned id=%s engine=%s", request.id(), engine);
          return;
        }
        upstreams.recordFailure(instance, clock.now());
        if (mayBeQuarantined()) {
          crashDetector.recordLostAttempt(request, target, e);
        }
        recordLost(e);
      } catch (RuntimeException e) {
        upstreams.release(instance);
        throw e;
      }
    }

    /** Leaves time for another attempt, unless this is the last one. */
    private long attemptTimeoutMs(long remainingMs) {
      return record.isLastAttempt()
          ? remainingMs
          : Math.min(remainingMs, Math.max(MIN_FIRST_ATTEMPT_MS, remainingMs / 2));
    }

    private void evaluate(PlatformInstance instance, HttpResponse received) {
      UpstreamProtocol protocol = sender.protocol();
      if (protocol.notRun(received.status(), received.headers())) {
        recordRefusal(instance, received.status());
        record.recordNotRun();
        logger.atInfo().log(
            "attempt refused id=%s engine=%s status=%d refusals=%d",
            request.id(), instance.getName(), received.status(), record.refusals());
        return;
      }
      ownGate()
          .ifPresent(
              g ->
                  g.recordAnswer(
                      request.service(),
                      protocol.upstreamLoad(received.headers()).map(UpstreamLoad::toReport)));
      if (mayBeQuarantined()) {
        crashDetector.recordAnswer(request);
      }
      boolean proven = protocol.proof(received.headers()).isPresent();
      AnswerRule use = AnswerRule.of(received.status(), proven);
      if (use == AnswerRule.RETURN) {
        upstreams.recordSuccess(instance);
        record.recordAnswered();
        response = Optional.of(received);
        return;
      }
      upstreams.recordFailure(instance, clock.now());
      record.recordFailed(received.status() == 500 && proven);
      logger.atInfo().log(
          "attempt failed id=%s engine=%s status=%d attempt=%d",
          request.id(), instance.getName(), received.status(), record.attempts());
      response = use == AnswerRule.RETURN_IF_LAST ? Optional.of(received) : Optional.empty();
    }

    private void withholdAnswer(String peer, int status) {
      // The other instance has counted the run.
      record.recordLost(false);
      response = Optional.empty();
      logger.atInfo().log(
          "relayed answer withheld, the request has run id=%s peer=%s status=%d",
          request.id(), peer, status);
    }

    private Optional<BackgroundGate> ownGate() {
      return gate.filter(g -> request.urgency() == Urgency.BACKGROUND);
    }

    private void recordRefusal(PlatformInstance instance, int status) {
      if (status == UNAVAILABLE_STATUS) {
        upstreams.recordRefusal(instance, clock.now());
        ownGate().ifPresent(g -> g.recordRefusal(request.service()));
      } else {
        upstreams.release(instance);
      }
    }

    private void recordLost(HttpCallException failure) {
      response = Optional.empty();
      logger.atInfo().log(
          "attempt lost id=%s engine=%s attempt=%d reason=%s sent=%s",
          request.id(), engine, record.attempts(), failure.reason(), failure.execution());
      if (failure.execution() == HttpCallException.Execution.NOT_SENT) {
        record.recordNotRun();
      } else {
        record.recordLost(failure.reason() == HttpCallException.Reason.SILENT);
      }
    }
  }
}
