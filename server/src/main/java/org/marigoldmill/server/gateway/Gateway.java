package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpSyntax;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.deployment.CallerProtocol;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.RegionRules;
import org.marigoldmill.server.duty.UsageCounter;
import org.marigoldmill.server.relay.RelayOrder;
import org.marigoldmill.server.relay.RelayProtocol;

/** Authenticates and routes callers' requests, and answers them. */
public final class Gateway implements HttpHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETRY_AFTER_MS = 300;

  /** Delay of the store after which a newer configuration may have been missed. */
  private static final long MAX_CONFIG_OVERDUE_MS = 500;

  private static final String NO_SERVICE = "";

  /** Requests of other instances that are carried at the same time. */
  private static final int MAX_CARRIED = 48;

  /** Time within which submissions are stored and read while the store answers. */
  private static final long SUBMISSION_LIMIT_MS = 2_500;

  /** Callers of a stopping instance should go to another instance at once. */
  private static final long DRAINING_RETRY_AFTER_MS = 0;

  private final CallerProtocol protocol;
  private final DeploymentState deployment;
  private final RegionRules regions;
  private final LongSupplier configOverdueMs;
  private final Forwarder forwarder;
  private final StreamForwarder streamForwarder;
  private final SubmissionService submissions;
  private final UsageCounter usage;
  private final Metrics metrics;
  private final Clock clock;
  private final Map<HttpServerExchange, Long> openRequests = new ConcurrentHashMap<>();
  private final DisconnectDetector disconnects;
  private final AtomicInteger carriedRequests = new AtomicInteger();
  private volatile Optional<ServiceEnd> serviceEnd = Optional.empty();

  /**
   * Creates a gateway.
   *
   * @param configOverdueMs returns how long news of the configuration have been overdue
   */
  public Gateway(
      CallerProtocol protocol,
      DeploymentState deployment,
      RegionRules regions,
      LongSupplier configOverdueMs,
      Forwarder forwarder,
      StreamForwarder streamForwarder,
      SubmissionService submissions,
      UsageCounter usage,
      Metrics metrics,
      Clock clock) {
    this.protocol = protocol;
    this.deployment = deployment;
    this.regions = regions;
    this.configOverdueMs = configOverdueMs;
    this.forwarder = forwarder;
    this.streamForwarder = streamForwarder;
    this.submissions = submissions;
    this.usage = usage;
    this.metrics = metrics;
    this.clock = clock;
    this.disconnects = new DisconnectDetector(clock);
  }

  /** Cancels requests whose callers have disconnected; to be called periodically. */
  public void detectDisconnects() {
    disconnects.checkCallers();
  }

  /**
   * The end of service of a stopping instance, in times of the monotonic clock.
   *
   * @param selectiveFromMs time from which requests are refused that might outlast the service, in
   *     milliseconds
   * @param untilMs time until which requests are served, in milliseconds
   */
  private record ServiceEnd(long selectiveFromMs, long untilMs) {
    private boolean precludes(long nowMs, long limitMs) {
      return nowMs >= selectiveFromMs && limitMs > untilMs;
    }
  }

  /**
   * Closes every connection after its next response, and later refuses requests whose time limit
   * ends too late.
   *
   * @param selectiveFromMs time on the monotonic clock from which such requests are refused, in
   *     milliseconds
   * @param untilMs latest end of a time limit then, on the same clock
   */
  public void drain(long selectiveFromMs, long untilMs) {
    serviceEnd = Optional.of(new ServiceEnd(selectiveFromMs, untilMs));
  }

  /** Logs each request in progress, whose connection is about to be closed. */
  public void logCutRequests() {
    openRequests.forEach(
        (exchange, arrivedAtMs) ->
            logger.atWarning().log(
                "request cut id=%s path=%s ms=%d cause=shutdown",
                protocol.requestId(exchange).orElse(""),
                exchange.getRequestPath(),
                clock.now() - arrivedAtMs));
  }

  /** Authenticates, routes and answers a request. */
  @Override
  public void handleRequest(HttpServerExchange exchange) {
    long arrivedAtMs = clock.now();
    receive(exchange, arrivedAtMs, (body, id) -> route(exchange, body, arrivedAtMs, id));
  }

  /** Refuses a request that arrives after the end of service. */
  public void refuse(HttpServerExchange exchange) {
    refuse(exchange, ErrorKind.DRAINING, "shut");
  }

  private void refuse(HttpServerExchange exchange, ErrorKind kind, String reason) {
    receive(
        exchange,
        clock.now(),
        (body, id) -> {
          throw MarigoldmillException.of(kind, reason);
        });
  }

  /** Carries a request of another instance, which reaches no upstream. */
  public void handleCarried(HttpServerExchange exchange) {
    RelayProtocol.markCarried(exchange);
    int carried = carriedRequests.incrementAndGet();
    exchange.addExchangeCompleteListener(
        (done, next) -> {
          carriedRequests.decrementAndGet();
          next.proceed();
        });
    if (carried > MAX_CARRIED) {
      refuse(exchange, ErrorKind.OVERLOADED, "carries " + carried + " requests");
    } else {
      handleRequest(exchange);
    }
  }

  /** Refuses a request of another instance after the end of service. */
  public void refuseCarried(HttpServerExchange exchange) {
    RelayProtocol.markCarried(exchange);
    refuse(exchange);
  }

  /** Decides on the response to a request whose body has been read. */
  @FunctionalInterface
  private interface Responder {
    Result respond(byte[] body, String id);
  }

  private void receive(HttpServerExchange exchange, long arrivedAtMs, Responder responder) {
    openRequests.put(exchange, arrivedAtMs);
    exchange.addExchangeCompleteListener(
        (done, next) -> {
          openRequests.remove(done);
          disconnects.unwatch(done);
          next.proceed();
        });
    deployment.config().ifPresent(c -> exchange.setMaxEntitySize(c.limits().maxBodyBytes()));
    if (!hasUnambiguousFraming(exchange)) {
      rejectUnreadable(exchange, new IOException("expected transfer encoding chunked or none"));
      return;
    }
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(() -> respond(received, body, arrivedAtMs, responder)),
            (failed, cause) -> rejectUnreadable(failed, cause));
  }

  /** Returns whether the length or chunked encoding alone determines the end of the body. */
  private static boolean hasUnambiguousFraming(HttpServerExchange exchange) {
    HeaderValues encodings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
    return encodings == null
        || (encodings.size() == 1 && encodings.getFirst().trim().equalsIgnoreCase("chunked"));
  }

  private void rejectUnreadable(HttpServerExchange exchange, Exception cause) {
    boolean tooLarge =
        cause instanceof Receiver.RequestToLargeException
            || cause instanceof RequestTooBigException;
    logger.atInfo().log("request not readable path=%s cause=%s", exchange.getRequestURI(), cause);
    exchange.setPersistent(false);
    ErrorKind kind = tooLarge ? unlessOutdated(ErrorKind.BODY_TOO_LARGE) : ErrorKind.BAD_REQUEST;
    send(exchange, protocol.errorResponse(kind, 0));
  }

  private void respond(
      HttpServerExchange exchange, byte[] body, long arrivedAtMs, Responder responder) {
    String id = protocol.requestId(exchange).orElse("");
    Result result;
    try {
      result = responder.respond(body, id);
    } catch (MarigoldmillException e) {
      long retryAfterMs = e.kind() == ErrorKind.DRAINING ? DRAINING_RETRY_AFTER_MS : RETRY_AFTER_MS;
      result = Result.error(e.kind(), errorResponse(e.kind(), retryAfterMs), e.getMessage());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("internal error id=%s", id);
      result = Result.error(ErrorKind.INTERNAL, errorResponse(ErrorKind.INTERNAL, 0), e.toString());
    }
    long elapsedMs = clock.now() - arrivedAtMs;
    metrics.recordCall(
        result.service(), "", Integer.toString(result.response().status()), elapsedMs);
    logger.atInfo().log(
        "request id=%s method=%s path=%s status=%d ms=%d detail=%s",
        id,
        exchange.getRequestMethod(),
        exchange.getRequestPath(),
        result.response().status(),
        elapsedMs,
        result.detail());
    if (!exchange.isResponseStarted()) {
      if (!exchange.getConnection().isOpen()) {
        metrics.recordUnsentResponse();
        logger.atInfo().log(
            "response not sent id=%s status=%d cause=connection closed draining=%s",
            id, result.response().status(), serviceEnd.isPresent());
      }
      RelayProtocol.setVerdict(exchange, result.verdict());
      send(exchange, result.response());
    }
  }

  /**
   * The result of a request.
   *
   * @param error why there is no answer of an upstream, if there is none
   */
  private record Result(
      HttpResponse response, String service, String detail, Optional<ErrorKind> error) {
    private static Result answer(HttpResponse response, String service, String detail) {
      return new Result(response, service, detail, Optional.empty());
    }

    private static Result error(ErrorKind kind, HttpResponse response, String detail) {
      return new Result(response, NO_SERVICE, detail, Optional.of(kind));
    }

    private RelayProtocol.Verdict verdict() {
      return error
          .map(
              k ->
                  k.execution() == ErrorKind.Execution.NOT_RUN
                      ? RelayProtocol.Verdict.NOT_RUN
                      : RelayProtocol.Verdict.MAYBE_RUN)
          .orElse(RelayProtocol.Verdict.ANSWERED);
    }
  }

  private HttpResponse errorResponse(ErrorKind kind, long retryAfterMs) {
    return protocol.errorResponse(kind, retryAfterMs);
  }

  /** Returns the kind of a refusal by the configuration that was in force just before. */
  private ErrorKind unlessOutdated(ErrorKind kind) {
    return unlessOutdated(kind, configOverdueMs.getAsLong());
  }

  /**
   * Returns the kind of a refusal by a configuration of which news are overdue.
   *
   * <p>Callers do not retry such a refusal, so an instance that may have missed a newer
   * configuration asks them to retry instead.
   */
  private static ErrorKind unlessOutdated(ErrorKind kind, long overdueMs) {
    return overdueMs > MAX_CONFIG_OVERDUE_MS ? ErrorKind.KNOWLEDGE_STALE : kind;
  }

  /**
   * A configuration and how long news of it had been overdue before it was looked up.
   *
   * @param overdueMs delay in milliseconds
   */
  private record KnownConfig(DeploymentConfig config, long overdueMs) {
    /** Creates a refusal by the configuration, or by how old it is. */
    private MarigoldmillException refusal(ErrorKind kind, String reason) {
      String detail = reason + " in version " + config.version() + " overdue_ms=" + overdueMs;
      return MarigoldmillException.of(unlessOutdated(kind, overdueMs), detail);
    }
  }

  private KnownConfig knownConfig() {
    // In the other order, a newer configuration could arrive in between and end the delay.
    long overdueMs = configOverdueMs.getAsLong();
    return deployment
        .config()
        .map(c -> new KnownConfig(c, overdueMs))
        .orElseThrow(
            () -> MarigoldmillException.of(ErrorKind.NOT_CONFIGURED, "no configuration loaded"));
  }

  private Result route(HttpServerExchange exchange, byte[] body, long arrivedAtMs, String id) {
    KnownConfig known = knownConfig();
    requireSameConfig(known, exchange);
    Optional<CallerProtocol.SubmissionQuery> question = protocol.submissionQuery(exchange);
    if (question.isPresent()) {
      String organisation = organisation(known, exchange);
      requireTimeUntil(arrivedAtMs + SUBMISSION_LIMIT_MS);
      HttpResponse response =
          submissions
              .respond(question.get(), organisation)
              .orElseThrow(() -> known.refusal(ErrorKind.NOT_FOUND, "no such submission or item"));
      return Result.answer(response, "submissions", question.get().toString());
    }
    String host = host(exchange);
    String path = exchange.getRequestURI();
    Route route =
        known
            .config()
            .route(host, path)
            .orElseThrow(() -> known.refusal(ErrorKind.NOT_FOUND, "no matching route"));
    Optional<String> organisation =
        route.publicAccess() ? Optional.empty() : Optional.of(organisation(known, exchange));
    if (id.isEmpty()) {
      throw MarigoldmillException.of(ErrorKind.BAD_REQUEST, "request id missing");
    }
    if (route.kind() == Route.Kind.ROLLOUT) {
      requireTimeUntil(arrivedAtMs + SUBMISSION_LIMIT_MS);
      return submit(exchange, body, id, route, host, organisation.orElse(""));
    }
    return forward(exchange, body, arrivedAtMs, id, route, known.config(), organisation);
  }

  /**
   * Refuses a request of a stopping instance that may still be in progress when service ends.
   *
   * @param limitMs end of the time limit of the request on the monotonic clock, in milliseconds
   */
  private void requireTimeUntil(long limitMs) {
    if (serviceEnd.filter(e -> e.precludes(clock.now(), limitMs)).isPresent()) {
      throw MarigoldmillException.of(ErrorKind.DRAINING, "time limit ends after service");
    }
  }

  /** An older or newer configuration than that of the other instance might route differently. */
  private static void requireSameConfig(KnownConfig known, HttpServerExchange exchange) {
    long version = known.config().version();
    RelayProtocol.carried(exchange)
        .filter(c -> c.configVersion() != version)
        .ifPresent(
            c -> {
              throw MarigoldmillException.of(
                  ErrorKind.KNOWLEDGE_STALE,
                  "expected version " + c.configVersion() + " but have " + version);
            });
  }

  private Result submit(
      HttpServerExchange exchange,
      byte[] body,
      String id,
      Route route,
      String host,
      String organisation) {
    if (!exchange.getRequestMethod().equalToString("POST")) {
      throw MarigoldmillException.of(
          ErrorKind.BAD_REQUEST, "expected method POST but got " + exchange.getRequestMethod());
    }
    CallerProtocol.ParsedSubmission submitted =
        protocol.parseSubmission(id, organisation, host, exchange.getRequestURI(), route, body);
    return Result.answer(submissions.accept(submitted), "submissions", "submit");
  }

  private Result forward(
      HttpServerExchange exchange,
      byte[] body,
      long arrivedAtMs,
      String id,
      Route matched,
      DeploymentConfig config,
      Optional<String> organisation) {
    Optional<RelayProtocol.Carried> carried = RelayProtocol.carried(exchange);
    Route route = carried.map(c -> matched.withMaxAttempts(c.attempts())).orElse(matched);
    long timeoutMs =
        Math.min(route.timeoutMs(), protocol.deadlineMs(exchange).orElse(route.timeoutMs()));
    requireTimeUntil(arrivedAtMs + timeoutMs);
    String query = exchange.getQueryString();
    String path = exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    String service = route.chooseService(idThatChoosesService(exchange, route, id));
    String method = exchange.getRequestMethod().toString();
    List<HttpCall.Header> headers =
        RelayProtocol.withoutRelayHeaders(protocol.forwardedHeaders(exchange));
    HttpSyntax.violation(method, path, headers)
        .ifPresent(
            v -> {
              throw MarigoldmillException.of(ErrorKind.BAD_REQUEST, v);
            });
    Forwarder.Request request =
        new Forwarder.Request(
            id,
            route,
            service,
            host(exchange),
            method,
            path,
            headers,
            body,
            organisation,
            Urgency.CALL,
            arrivedAtMs + timeoutMs,
            disconnects.watch(exchange),
            carried.isPresent()
                ? Optional.empty()
                : Optional.of(
                    new RelayOrder(
                        config.version(),
                        (remainingMs, resumeAfter) ->
                            protocol.relayedHeaders(exchange, remainingMs, resumeAfter))),
            regions.zones(config, route, organisation));
    if (route.streaming()) {
      return forwardStream(exchange, request);
    }
    Forwarder.Outcome outcome = forwarder.forward(request);
    disconnects.unwatch(exchange);
    if (outcome.ran()) {
      organisation.ifPresent(usage::countStarted);
    }
    String detail =
        "engine="
            + outcome.engine()
            + " attempts="
            + outcome.attempts()
            + " kind="
            + outcome.kind();
    HttpResponse response =
        outcome
            .response()
            .map(a -> new HttpResponse(a.status(), protocol.returnedHeaders(a.headers()), a.body()))
            .orElseGet(() -> protocol.errorResponse(outcome.kind(), outcome.retryAfterMs()));
    return outcome.response().isPresent()
        ? Result.answer(response, service, detail)
        : new Result(response, service, "refused " + detail, Optional.of(outcome.kind()));
  }

  /** Returns the id of the request that began a stream, so that it goes on at the same service. */
  private String idThatChoosesService(HttpServerExchange exchange, Route route, String id) {
    return route.resumable()
        ? protocol
            .resumedStream(exchange)
            .flatMap(CallerProtocol.ResumedStream::firstRequest)
            .orElse(id)
        : id;
  }

  private Result forwardStream(HttpServerExchange exchange, Forwarder.Request request) {
    if (serviceEnd.isPresent()) {
      exchange.setPersistent(false);
    }
    StreamForwarder.Outcome outcome =
        streamForwarder.forward(request, protocol.resumedStream(exchange), exchange);
    disconnects.unwatch(exchange);
    if (outcome.ran()) {
      request.organisation().ifPresent(usage::countStarted);
    }
    String detail = "stream " + outcome;
    return outcome.begun()
        ? Result.answer(new HttpResponse(200, List.of(), new byte[0]), request.service(), detail)
        : new Result(
            protocol.errorResponse(outcome.kind(), outcome.retryAfterMs()),
            request.service(),
            detail,
            Optional.of(outcome.kind()));
  }

  private String organisation(KnownConfig known, HttpServerExchange exchange) {
    String key =
        protocol
            .apiKey(exchange)
            .orElseThrow(() -> known.refusal(ErrorKind.KEY_MISSING, "request without key"));
    return known
        .config()
        .organisation(key)
        .orElseThrow(() -> known.refusal(ErrorKind.KEY_UNKNOWN, "unknown key"));
  }

  private static String host(HttpServerExchange exchange) {
    String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
    if (host == null) {
      throw MarigoldmillException.of(ErrorKind.BAD_REQUEST, "host header missing");
    }
    int colon = host.lastIndexOf(':');
    return colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
  }

  private void send(HttpServerExchange exchange, HttpResponse response) {
    if (serviceEnd.isPresent()) {
      exchange.setPersistent(false);
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    }
    HttpServer.send(exchange, response);
  }
}
