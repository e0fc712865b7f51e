package org.marigoldmill.server.call;

import io.opentelemetry.api.trace.Span;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.core.key.KeyDirectory;
import org.marigoldmill.schema.declaration.Job;
import org.marigoldmill.schema.declaration.Service;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Tracing;
import org.marigoldmill.server.rollout.DrawHandler;
import org.marigoldmill.server.state.Config;
import org.marigoldmill.server.state.SharedState;

/** Handles requests of callers: resolves service and organisation, and reads the body. */
public final class EntryHandler implements HttpHandler {
  private static final String PATH_PREFIX = "/v1/";
  private static final String JOBS_SEGMENT = "jobs";
  private static final String DRAW_SEGMENT = "draw";

  /** Target of a request: a service and the path to send upstream, or a draw from a job. */
  private record Target(String name, String upstreamPath, boolean draw) {}

  private final SharedState state;
  private final CallHandler calls;
  private final DrawHandler draws;
  private final LongSupplier knowledgeAgeMs;
  private final Tracing tracing;
  private final Clock clock;
  private final long bodyTimeoutMs;

  /** Creates a handler; a body that takes longer than the timeout is refused. */
  EntryHandler(
      SharedState state,
      CallHandler calls,
      DrawHandler draws,
      LongSupplier knowledgeAgeMs,
      Tracing tracing,
      Clock clock,
      long bodyTimeoutMs) {
    this.state = state;
    this.calls = calls;
    this.draws = draws;
    this.knowledgeAgeMs = knowledgeAgeMs;
    this.tracing = tracing;
    this.clock = clock;
    this.bodyTimeoutMs = bodyTimeoutMs;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    try {
      route(exchange);
    } catch (MarigoldmillException e) {
      Refusal.send(exchange, e.kind(), "", 0);
    }
  }

  /** Refuses a request that arrives while the process is stopping. */
  void refuse(HttpServerExchange exchange) {
    exchange.setPersistent(false);
    exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    Refusal.send(exchange, ErrorKind.DRAINING, "", 0);
  }

  private void route(HttpServerExchange exchange) {
    Target target = parseTarget(exchange).orElseThrow(() -> refusal(ErrorKind.NOT_FOUND));
    Config config = state.config();
    if (config.revision() == 0) {
      throw refusal(ErrorKind.NOT_CONFIGURED);
    }
    if (target.draw()) {
      acceptDraw(exchange, config, target);
    } else {
      acceptCall(exchange, config, target);
    }
  }

  private void acceptDraw(HttpServerExchange exchange, Config config, Target target) {
    Job job =
        Optional.ofNullable(config.jobs().get(target.name()))
            .orElseThrow(() -> refusal(ErrorKind.NOT_FOUND));
    String organisation = requireOrganisation(exchange, config);
    if (!organisation.equals(job.getOrganisation())) {
      throw refusal(ErrorKind.FORBIDDEN);
    }
    readBody(exchange, body -> draws.accept(exchange, job, body));
  }

  private void acceptCall(HttpServerExchange exchange, Config config, Target target) {
    Service service =
        Optional.ofNullable(config.services().get(target.name()))
            .orElseThrow(() -> refusal(ErrorKind.NOT_FOUND));
    boolean requiresKey = !service.getOpen();
    long maxAgeMs = service.getStaleKnowledgeMs();
    if (requiresKey && maxAgeMs > 0 && knowledgeAgeMs.getAsLong() > maxAgeMs) {
      throw refusal(ErrorKind.KNOWLEDGE_STALE);
    }
    String organisation = requiresKey ? requireOrganisation(exchange, config) : "";
    boolean allowed =
        service.getOrganisationsCount() == 0
            || service.getOrganisationsList().contains(organisation);
    if (requiresKey && !allowed) {
      throw refusal(ErrorKind.FORBIDDEN);
    }
    String key = UpstreamRequest.apiKey(exchange);
    Span span = tracing.startServerSpan(exchange, "call " + service.getName());
    CallContext call =
        new CallContext(
            exchange,
            service,
            organisation,
            KeyDirectory.hash(key),
            target.upstreamPath(),
            clock.now(),
            span);
    readBody(exchange, body -> checkAndAccept(call, key, body));
  }

  private void checkAndAccept(CallContext call, String key, byte[] body) {
    if (UpstreamRequest.wouldForwardKey(key, call.exchange(), call.path(), body)) {
      Refusal.send(call.exchange(), ErrorKind.KEY_IN_REQUEST, "", 0);
      return;
    }
    call.body(body);
    calls.accept(call);
  }

  private String requireOrganisation(HttpServerExchange exchange, Config config) {
    String key = UpstreamRequest.apiKey(exchange);
    if (key.isEmpty()) {
      throw refusal(ErrorKind.KEY_MISSING);
    }
    return config
        .keys()
        .organisation(KeyDirectory.hash(key))
        .orElseThrow(() -> refusal(ErrorKind.KEY_UNKNOWN));
  }

  private void readBody(HttpServerExchange exchange, Consumer<byte[]> onBody) {
    AtomicBoolean completed = new AtomicBoolean();
    var timeout =
        exchange
            .getIoThread()
            .executeAfter(
                () -> rejectBody(exchange, completed, ErrorKind.SLOW_BODY),
                bodyTimeoutMs,
                TimeUnit.MILLISECONDS);
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (e, body) -> {
              timeout.remove();
              if (completed.compareAndSet(false, true)) {
                onBody.accept(body);
              }
            },
            (e, failure) -> {
              timeout.remove();
              rejectBody(exchange, completed, kind(failure));
            });
  }

  private static ErrorKind kind(Exception failure) {
    return failure instanceof Receiver.RequestToLargeException
        ? ErrorKind.BODY_TOO_LARGE
        : ErrorKind.BAD_REQUEST;
  }

  private static void rejectBody(
      HttpServerExchange exchange, AtomicBoolean completed, ErrorKind kind) {
    if (completed.compareAndSet(false, true)) {
      exchange.setPersistent(false);
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
      Refusal.send(exchange, kind, "", 0);
    }
  }

  private static Optional<Target> parseTarget(HttpServerExchange exchange) {
    String path = exchange.getRequestURI();
    if (!path.startsWith(PATH_PREFIX)) {
      return Optional.empty();
    }
    String[] parts = path.substring(PATH_PREFIX.length()).split("/", 3);
    if (parts.length == 3 && parts[0].equals(JOBS_SEGMENT) && parts[2].equals(DRAW_SEGMENT)) {
      return Optional.of(new Target(parts[1], "", true));
    }
    String rest = path.substring(PATH_PREFIX.length() + parts[0].length());
    String query = exchange.getQueryString();
    String upstreamPath = (rest.isEmpty() ? "/" : rest) + (query.isEmpty() ? "" : "?" + query);
    return Optional.of(new Target(parts[0], upstreamPath, false));
  }

  private static MarigoldmillException refusal(ErrorKind kind) {
    return MarigoldmillException.of(kind, "");
  }
}
