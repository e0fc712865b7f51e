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
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.http.HttpAnswer;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.deployment.CallerProtocol;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.duty.UsageCounter;

/** Takes callers' requests, checks them against the configuration, and has them carried out. */
public final class Gateway implements HttpHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETRY_AFTER_MS = 300;
  private static final String NO_SERVICE = "";

  private final CallerProtocol protocol;
  private final DeploymentState deployment;
  private final Forwarder forwarder;
  private final StreamCarrier streams;
  private final SubmissionService submissions;
  private final UsageCounter usage;
  private final Metrics metrics;
  private final Clock clock;
  private final AtomicInteger open = new AtomicInteger();
  private final CallerWatch watch;
  private volatile boolean draining;

  /** Creates the gateway over its parts. */
  public Gateway(
      CallerProtocol protocol,
      DeploymentState deployment,
      Forwarder forwarder,
      StreamCarrier streams,
      SubmissionService submissions,
      UsageCounter usage,
      Metrics metrics,
      Clock clock) {
    this.protocol = protocol;
    this.deployment = deployment;
    this.forwarder = forwarder;
    this.streams = streams;
    this.submissions = submissions;
    this.usage = usage;
    this.metrics = metrics;
    this.clock = clock;
    this.watch = new CallerWatch(clock);
  }

  /** Looks for callers that have left; one round of a duty. */
  public void watchCallers() {
    watch.runRound();
  }

  /** Closes each connection after its answer from now on. */
  public void drain() {
    draining = true;
  }

  /** Returns the requests in progress. */
  public int open() {
    return open.get();
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    final long arrivedAt = clock.now();
    open.incrementAndGet();
    exchange.addExchangeCompleteListener(
        (done, next) -> {
          open.decrementAndGet();
          watch.release(done);
          next.proceed();
        });
    deployment.config().ifPresent(c -> exchange.setMaxEntitySize(c.limits().bodyBytes()));
    if (!clearlyFramed(exchange)) {
      unreadable(exchange, new IOException("transfer encoding that is not known"));
      return;
    }
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) -> received.dispatch(() -> answer(received, body, arrivedAt)),
            (failed, cause) -> unreadable(failed, cause));
  }

  /** The end of a body can only be told from its length or when it is chunked and nothing else. */
  private static boolean clearlyFramed(HttpServerExchange exchange) {
    HeaderValues encodings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
    return encodings == null
        || (encodings.size() == 1 && encodings.getFirst().trim().equalsIgnoreCase("chunked"));
  }

  private void unreadable(HttpServerExchange exchange, Exception cause) {
    boolean large =
        cause instanceof Receiver.RequestToLargeException
            || cause instanceof RequestTooBigException;
    logger.atInfo().log("request unreadable path=%s cause=%s", exchange.getRequestURI(), cause);
    exchange.setPersistent(false);
    send(exchange, protocol.refusal(large ? ErrorKind.BODY_TOO_LARGE : ErrorKind.BAD_REQUEST, 0));
  }

  private void answer(HttpServerExchange exchange, byte[] body, long arrivedAt) {
    String id = protocol.requestId(exchange).orElse("");
    Handled handled;
    try {
      handled = handle(exchange, body, arrivedAt, id);
    } catch (MarigoldmillException e) {
      handled = new Handled(protocol.refusal(e.kind(), RETRY_AFTER_MS), NO_SERVICE, e.getMessage());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("request failed id=%s", id);
      handled = new Handled(protocol.refusal(ErrorKind.INTERNAL, 0), NO_SERVICE, e.toString());
    }
    long took = clock.now() - arrivedAt;
    metrics.call(handled.service(), "", Integer.toString(handled.answer().status()), took);
    logger.atInfo().log(
        "request id=%s method=%s path=%s status=%d ms=%d detail=%s",
        id,
        exchange.getRequestMethod(),
        exchange.getRequestPath(),
        handled.answer().status(),
        took,
        handled.detail());
    if (!exchange.isResponseStarted()) {
      send(exchange, handled.answer());
    }
  }

  private record Handled(HttpAnswer answer, String service, String detail) {}

  private Handled handle(HttpServerExchange exchange, byte[] body, long arrivedAt, String id) {
    DeploymentConfig config =
        deployment
            .config()
            .orElseThrow(
                () -> MarigoldmillException.of(ErrorKind.NOT_CONFIGURED, "no configuration yet"));
    Optional<CallerProtocol.SubmissionQuery> question = protocol.submissionQuery(exchange);
    if (question.isPresent()) {
      String organisation = organisation(config, exchange);
      HttpAnswer answer = submissions.answer(question.get(), organisation);
      return new Handled(answer, "submissions", question.get().toString());
    }
    String host = host(exchange);
    String path = exchange.getRequestURI();
    Route route =
        config
            .route(host, path)
            .orElseThrow(
                () ->
                    MarigoldmillException.of(
                        ErrorKind.NOT_FOUND, "no route in version " + config.version()));
    Optional<String> organisation =
        route.open() ? Optional.empty() : Optional.of(organisation(config, exchange));
    if (id.isEmpty()) {
      throw MarigoldmillException.of(ErrorKind.BAD_REQUEST, "the request has no id");
    }
    if (route.kind() == Route.Kind.ROLLOUT) {
      return submit(exchange, body, id, route, host, organisation.orElse(""));
    }
    return carry(exchange, body, arrivedAt, id, route, host, organisation);
  }

  private Handled submit(
      HttpServerExchange exchange,
      byte[] body,
      String id,
      Route route,
      String host,
      String organisation) {
    if (!exchange.getRequestMethod().equalToString("POST")) {
      throw MarigoldmillException.of(ErrorKind.BAD_REQUEST, "a submission is a POST");
    }
    CallerProtocol.ParsedSubmission submitted =
        protocol.parseSubmission(id, organisation, host, exchange.getRequestURI(), route, body);
    return new Handled(submissions.accept(submitted), "submissions", "submit");
  }

  private Handled carry(
      HttpServerExchange exchange,
      byte[] body,
      long arrivedAt,
      String id,
      Route route,
      String host,
      Optional<String> organisation) {
    long patience =
        Math.min(route.timeoutMs(), protocol.deadlineMs(exchange).orElse(route.timeoutMs()));
    String query = exchange.getQueryString();
    String path = exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    String service = route.service(id);
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
            arrivedAt + patience,
            watch.watch(exchange));
    if (route.streaming()) {
      return stream(exchange, request);
    }
    Forwarder.Outcome outcome = forwarder.forward(request);
    watch.release(exchange);
    if (outcome.ran()) {
      organisation.ifPresent(usage::began);
    }
    String detail =
        "engine="
            + outcome.engine()
            + " attempts="
            + outcome.attempts()
            + " kind="
            + outcome.kind();
    HttpAnswer answer =
        outcome
            .answer()
            .map(a -> new HttpAnswer(a.status(), protocol.returnedHeaders(a.headers()), a.body()))
            .orElseGet(() -> protocol.refusal(outcome.kind(), Forwarder.RETRY_AFTER_MS));
    return new Handled(
        answer, service, outcome.answer().isPresent() ? detail : "refused " + detail);
  }

  private Handled stream(HttpServerExchange exchange, Forwarder.Request request) {
    if (draining) {
      exchange.setPersistent(false);
    }
    StreamCarrier.Outcome outcome = streams.carry(request, exchange);
    watch.release(exchange);
    if (outcome.ran()) {
      request.organisation().ifPresent(usage::began);
    }
    String detail = "stream " + outcome;
    return outcome.begun()
        ? new Handled(new HttpAnswer(200, List.of(), new byte[0]), request.service(), detail)
        : new Handled(protocol.refusal(outcome.kind(), RETRY_AFTER_MS), request.service(), detail);
  }

  private String organisation(DeploymentConfig config, HttpServerExchange exchange) {
    String key =
        protocol
            .apiKey(exchange)
            .orElseThrow(() -> MarigoldmillException.of(ErrorKind.KEY_MISSING, "no key"));
    return config
        .organisation(key)
        .orElseThrow(
            () ->
                MarigoldmillException.of(
                    ErrorKind.KEY_UNKNOWN, "not in version " + config.version()));
  }

  private static String host(HttpServerExchange exchange) {
    String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
    if (host == null) {
      throw MarigoldmillException.of(ErrorKind.BAD_REQUEST, "the request has no host");
    }
    int colon = host.lastIndexOf(':');
    return colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
  }

  private void send(HttpServerExchange exchange, HttpAnswer answer) {
    if (draining) {
      exchange.setPersistent(false);
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    }
    HttpServer.send(exchange, answer);
  }
}
