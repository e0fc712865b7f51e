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
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.deployment.CallerProtocol;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.duty.UsageCounter;

/** Authenticates and routes callers' requests, and answers them. */
public final class Gateway implements HttpHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETRY_AFTER_MS = 300;

  /** Delay of the store after which a newer configuration may have been missed. */
  private static final long MAX_CONFIG_OVERDUE_MS = 500;

  private static final String NO_SERVICE = "";

  private final CallerProtocol protocol;
  private final DeploymentState deployment;
  private final LongSupplier configOverdueMs;
  private final Forwarder forwarder;
  private final StreamForwarder streamForwarder;
  private final SubmissionService submissions;
  private final UsageCounter usage;
  private final Metrics metrics;
  private final Clock clock;
  private final AtomicInteger openRequests = new AtomicInteger();
  private final DisconnectDetector disconnects;
  private volatile boolean draining;

  /**
   * Creates a gateway.
   *
   * @param configOverdueMs returns how long news of the configuration have been overdue
   */
  public Gateway(
      CallerProtocol protocol,
      DeploymentState deployment,
      LongSupplier configOverdueMs,
      Forwarder forwarder,
      StreamForwarder streamForwarder,
      SubmissionService submissions,
      UsageCounter usage,
      Metrics metrics,
      Clock clock) {
    this.protocol = protocol;
    this.deployment = deployment;
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

  /** Closes every connection after its next response. */
  public void drain() {
    draining = true;
  }

  /** Returns the number of requests in progress. */
  public int openRequests() {
    return openRequests.get();
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    final long arrivedAtMs = clock.now();
    openRequests.incrementAndGet();
    exchange.addExchangeCompleteListener(
        (done, next) -> {
          openRequests.decrementAndGet();
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
            (received, body) -> received.dispatch(() -> respond(received, body, arrivedAtMs)),
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
    send(
        exchange,
        protocol.errorResponse(tooLarge ? ErrorKind.BODY_TOO_LARGE : ErrorKind.BAD_REQUEST, 0));
  }

  private void respond(HttpServerExchange exchange, byte[] body, long arrivedAtMs) {
    String id = protocol.requestId(exchange).orElse("");
    Result result;
    try {
      result = route(exchange, body, arrivedAtMs, id);
    } catch (MarigoldmillException e) {
      result =
          new Result(protocol.errorResponse(e.kind(), RETRY_AFTER_MS), NO_SERVICE, e.getMessage());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("internal error id=%s", id);
      result = new Result(protocol.errorResponse(ErrorKind.INTERNAL, 0), NO_SERVICE, e.toString());
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
      send(exchange, result.response());
    }
  }

  private record Result(HttpResponse response, String service, String detail) {}

  private Result route(HttpServerExchange exchange, byte[] body, long arrivedAtMs, String id) {
    DeploymentConfig config =
        deployment
            .config()
            .orElseThrow(
                () ->
                    MarigoldmillException.of(ErrorKind.NOT_CONFIGURED, "no configuration loaded"));
    Optional<CallerProtocol.SubmissionQuery> question = protocol.submissionQuery(exchange);
    if (question.isPresent()) {
      String organisation = organisation(config, exchange);
      HttpResponse response = submissions.respond(question.get(), organisation);
      return new Result(response, "submissions", question.get().toString());
    }
    String host = host(exchange);
    String path = exchange.getRequestURI();
    Route route =
        config
            .route(host, path)
            .orElseThrow(() -> refusal(ErrorKind.NOT_FOUND, "no matching route", config));
    Optional<String> organisation =
        route.publicAccess() ? Optional.empty() : Optional.of(organisation(config, exchange));
    if (id.isEmpty()) {
      throw MarigoldmillException.of(ErrorKind.BAD_REQUEST, "request id missing");
    }
    if (route.kind() == Route.Kind.ROLLOUT) {
      return submit(exchange, body, id, route, host, organisation.orElse(""));
    }
    return forward(exchange, body, arrivedAtMs, id, route, host, organisation);
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
    return new Result(submissions.accept(submitted), "submissions", "submit");
  }

  private Result forward(
      HttpServerExchange exchange,
      byte[] body,
      long arrivedAtMs,
      String id,
      Route route,
      String host,
      Optional<String> organisation) {
    long timeoutMs =
        Math.min(route.timeoutMs(), protocol.deadlineMs(exchange).orElse(route.timeoutMs()));
    String query = exchange.getQueryString();
    String path = exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    String service = route.chooseService(id);
    Forwarder.Request request =
        new Forwarder.Request(
            id,
            route,
            service,
            host,
            exchange.getRequestMethod().toString(),
            path,
            protocol.forwardedHeaders(exchange),
            body,
            organisation,
            arrivedAtMs + timeoutMs,
            disconnects.watch(exchange));
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
            .orElseGet(() -> protocol.errorResponse(outcome.kind(), Forwarder.RETRY_AFTER_MS));
    return new Result(
        response, service, outcome.response().isPresent() ? detail : "refused " + detail);
  }

  private Result forwardStream(HttpServerExchange exchange, Forwarder.Request request) {
    if (draining) {
      exchange.setPersistent(false);
    }
    StreamForwarder.Outcome outcome = streamForwarder.forward(request, exchange);
    disconnects.unwatch(exchange);
    if (outcome.ran()) {
      request.organisation().ifPresent(usage::countStarted);
    }
    String detail = "stream " + outcome;
    return outcome.begun()
        ? new Result(new HttpResponse(200, List.of(), new byte[0]), request.service(), detail)
        : new Result(
            protocol.errorResponse(outcome.kind(), RETRY_AFTER_MS), request.service(), detail);
  }

  private String organisation(DeploymentConfig config, HttpServerExchange exchange) {
    String key =
        protocol
            .apiKey(exchange)
            .orElseThrow(() -> refusal(ErrorKind.KEY_MISSING, "request without key", config));
    return config
        .organisation(key)
        .orElseThrow(() -> refusal(ErrorKind.KEY_UNKNOWN, "unknown key", config));
  }

  /**
   * Creates a refusal by a configuration.
   *
   * <p>Callers do not retry it, so an instance that may have missed a newer configuration asks them
   * to retry instead.
   */
  private MarigoldmillException refusal(ErrorKind kind, String reason, DeploymentConfig config) {
    long overdueMs = configOverdueMs.getAsLong();
    String detail = reason + " in version " + config.version() + " overdue_ms=" + overdueMs;
    return MarigoldmillException.of(
        overdueMs > MAX_CONFIG_OVERDUE_MS ? ErrorKind.KNOWLEDGE_STALE : kind, detail);
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
    if (draining) {
      exchange.setPersistent(false);
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    }
    HttpServer.send(exchange, response);
  }
}
