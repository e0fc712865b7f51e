package org.marigoldmill.server.call;

import io.opentelemetry.api.trace.Span;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
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

/** The callers' entry point: finds the service and the organisation, and reads the body. */
public final class EntryHandler implements HttpHandler {
  private static final String PREFIX = "/v1/";
  private static final String JOBS = "jobs";
  private static final String DRAW = "draw";

  /** What a request is for: a service with the rest of the path, or a draw of a job. */
  private record Target(String name, String rest, boolean draw) {}

  private final SharedState state;
  private final CallHandler calls;
  private final DrawHandler draws;
  private final LongSupplier knowledgeAge;
  private final BooleanSupplier refusing;
  private final Tracing tracing;
  private final Clock clock;
  private final long bodyTimeoutMs;

  /** Creates the entry point. */
  EntryHandler(
      SharedState state,
      CallHandler calls,
      DrawHandler draws,
      LongSupplier knowledgeAge,
      BooleanSupplier refusing,
      Tracing tracing,
      Clock clock,
      long bodyTimeoutMs) {
    this.state = state;
    this.calls = calls;
    this.draws = draws;
    this.knowledgeAge = knowledgeAge;
    this.refusing = refusing;
    this.tracing = tracing;
    this.clock = clock;
    this.bodyTimeoutMs = bodyTimeoutMs;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    try {
      accept(exchange);
    } catch (MarigoldmillException e) {
      Refusal.send(exchange, e.kind(), "", 0);
    }
  }

  private void accept(HttpServerExchange exchange) {
    if (refusing.getAsBoolean()) {
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
      throw MarigoldmillException.of(ErrorKind.DRAINING, "");
    }
    Target target = target(exchange).orElseThrow(() -> refusal(ErrorKind.NOT_FOUND));
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
    String organisation = organisation(exchange, config);
    if (!organisation.equals(job.getOrganisation())) {
      throw refusal(ErrorKind.FORBIDDEN);
    }
    readBody(exchange, body -> draws.accept(exchange, job, body));
  }

  private void acceptCall(HttpServerExchange exchange, Config config, Target target) {
    Service service =
        Optional.ofNullable(config.services().get(target.name()))
            .orElseThrow(() -> refusal(ErrorKind.NOT_FOUND));
    boolean keyed = !service.getOpen();
    long bound = service.getStaleKnowledgeMs();
    if (keyed && bound > 0 && knowledgeAge.getAsLong() > bound) {
      throw refusal(ErrorKind.KNOWLEDGE_STALE);
    }
    String organisation = keyed ? organisation(exchange, config) : "";
    boolean allowed =
        service.getOrganisationsCount() == 0
            || service.getOrganisationsList().contains(organisation);
    if (keyed && !allowed) {
      throw refusal(ErrorKind.FORBIDDEN);
    }
    String key = UpstreamCall.key(exchange);
    Span span = tracing.startServerSpan(exchange, "call " + service.getName());
    CallContext call =
        new CallContext(
            exchange,
            service,
            organisation,
            KeyDirectory.hash(key),
            target.rest(),
            clock.now(),
            span);
    readBody(exchange, body -> start(call, key, body));
  }

  private void start(CallContext call, String key, byte[] body) {
    if (UpstreamCall.leaks(key, call.exchange(), call.path(), body)) {
      Refusal.send(call.exchange(), ErrorKind.KEY_IN_REQUEST, "", 0);
      return;
    }
    call.body(body);
    calls.accept(call);
  }

  private String organisation(HttpServerExchange exchange, Config config) {
    String key = UpstreamCall.key(exchange);
    if (key.isEmpty()) {
      throw refusal(ErrorKind.KEY_MISSING);
    }
    return config
        .keys()
        .organisation(KeyDirectory.hash(key))
        .orElseThrow(() -> refusal(ErrorKind.KEY_UNKNOWN));
  }

  private void readBody(HttpServerExchange exchange, Consumer<byte[]> then) {
    AtomicBoolean decided = new AtomicBoolean();
    var timeout =
        exchange
            .getIoThread()
            .executeAfter(
                () -> giveUp(exchange, decided, ErrorKind.SLOW_BODY),
                bodyTimeoutMs,
                TimeUnit.MILLISECONDS);
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (e, body) -> {
              timeout.remove();
              if (decided.compareAndSet(false, true)) {
                then.accept(body);
              }
            },
            (e, failure) -> {
              timeout.remove();
              giveUp(exchange, decided, kind(failure));
            });
  }

  private static ErrorKind kind(Exception failure) {
    return failure instanceof Receiver.RequestToLargeException
        ? ErrorKind.BODY_TOO_LARGE
        : ErrorKind.BAD_REQUEST;
  }

  private static void giveUp(HttpServerExchange exchange, AtomicBoolean decided, ErrorKind kind) {
    if (decided.compareAndSet(false, true)) {
      exchange.setPersistent(false);
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
      Refusal.send(exchange, kind, "", 0);
    }
  }

  private static Optional<Target> target(HttpServerExchange exchange) {
    String path = exchange.getRequestURI();
    if (!path.startsWith(PREFIX)) {
      return Optional.empty();
    }
    String[] parts = path.substring(PREFIX.length()).split("/", 3);
    if (parts.length == 3 && parts[0].equals(JOBS) && parts[2].equals(DRAW)) {
      return Optional.of(new Target(parts[1], "", true));
    }
    String rest = path.substring(PREFIX.length() + parts[0].length());
    String query = exchange.getQueryString();
    String full = (rest.isEmpty() ? "/" : rest) + (query.isEmpty() ? "" : "?" + query);
    return Optional.of(new Target(parts[0], full, false));
  }

  private static MarigoldmillException refusal(ErrorKind kind) {
    return MarigoldmillException.of(kind, "");
  }
}
