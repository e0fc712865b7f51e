package org.marigoldmill.server.call;

import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.trace.Span;
import java.io.IOException;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.marigoldmill.core.attempt.RetryBudget;
import org.marigoldmill.core.config.DeclarationRules;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.schema.declaration.ServiceKind;
import org.marigoldmill.schema.peer.RunClaim;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.Tracing;
import org.marigoldmill.server.usage.UsageLedger;
import org.xnio.IoUtils;

/** Carries admitted calls to upstreams and their answers back. */
public final class CallHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_ATTEMPTS = 3;

  /** The parts that a call passes through. */
  public record Dependencies(
      UpstreamTable upstreams,
      HttpClient client,
      UsageLedger ledger,
      Metrics metrics,
      Tracing tracing,
      RunClaims claims,
      Quarantine quarantine,
      Clock clock,
      String zone) {}

  private enum Outcome {
    DONE,
    REPEAT
  }

  private final Dependencies parts;
  private final Gatekeeper gatekeeper;
  private final CallLimits limits;
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
  private final Set<CallContext> open = ConcurrentHashMap.newKeySet();

  /** Creates the handler over its parts. */
  CallHandler(Dependencies parts, Gatekeeper gatekeeper, CallLimits limits) {
    this.parts = parts;
    this.gatekeeper = gatekeeper;
    this.limits = limits;
  }

  /** Takes on a call whose body is there. */
  void accept(CallContext call) {
    open.add(call);
    call.exchange()
        .addExchangeCompleteListener(
            (exchange, next) -> {
              open.remove(call);
              next.proceed();
            });
    call.exchange().dispatch(command -> gatekeeper.submit(call, command), () -> run(call));
  }

  /** Cuts the open calls that came with a key. */
  void abortCallsWithKeys(Set<String> hashes) {
    open.stream().filter(c -> hashes.contains(c.keyHash())).forEach(CallContext::cut);
  }

  /** Returns how many calls are open. */
  int openCalls() {
    return open.size();
  }

  private void run(CallContext call) {
    boolean admitted = call.ticket() != null;
    try {
      if (call.refusal() != null) {
        refuse(call, call.refusal(), "");
      } else {
        attempt(call);
      }
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("call of %s", call.service().getName());
      fail(call, ErrorKind.INTERNAL, "");
    } finally {
      if (admitted) {
        gatekeeper.release(call);
      }
      call.span().end();
    }
  }

  private void attempt(CallContext call) {
    if (parts.quarantine().holds(call)) {
      refuse(call, ErrorKind.QUARANTINED, "");
      return;
    }
    Optional<RunClaim> claim = parts.claims().needed(call);
    Optional<ErrorKind> denied = claim.flatMap(parts.claims()::claim);
    if (denied.isPresent()) {
      refuse(call, denied.get(), "");
      return;
    }
    boolean sent = tryUpstreams(call);
    claim.filter(c -> !sent).ifPresent(parts.claims()::release);
  }

  /** Makes attempts until one ends the call; returns whether any may have run it. */
  private boolean tryUpstreams(CallContext call) {
    RetryBudget budget = budgets.computeIfAbsent(call.service().getName(), s -> new RetryBudget());
    budget.recordFirstAttempt();
    Attempts attempts = new Attempts();
    String pool = DeclarationRules.poolOf(call.service());
    while (true) {
      Optional<PlatformInstance> upstream = acquire(pool, attempts);
      if (upstream.isEmpty()) {
        fail(call, attempts.lastKind, "");
        return attempts.maybeRun;
      }
      if (attemptAt(upstream.get(), call, attempts) == Outcome.DONE) {
        return true;
      }
      boolean again =
          attempts.count < MAX_ATTEMPTS
              && parts.clock().now() < call.deadline()
              && (!attempts.maybeRun || budget.tryAcquireRetry());
      if (!again) {
        fail(call, attempts.lastKind, "");
        return attempts.maybeRun;
      }
      parts.metrics().recordRetry(call.service().getName());
    }
  }

  /** A connection that went silent says little of its upstream, so that one may be tried again. */
  private Optional<PlatformInstance> acquire(String pool, Attempts attempts) {
    return acquire(pool, i -> !attempts.visited.contains(i.getName()))
        .or(() -> attempts.silent ? acquire(pool, i -> true) : Optional.empty());
  }

  private Optional<PlatformInstance> acquire(String pool, Predicate<PlatformInstance> eligible) {
    return parts
        .upstreams()
        .acquire(pool, parts.zone(), limits.perUpstream(pool), eligible, parts.clock().now());
  }

  private Outcome attemptAt(PlatformInstance upstream, CallContext call, Attempts attempts) {
    attempts.count++;
    attempts.visited.add(upstream.getName());
    String id = UUID.randomUUID().toString();
    Span span = parts.tracing().startClientSpan(call.span(), "attempt");
    span.setAttribute("upstream", upstream.getName());
    HttpCall request =
        UpstreamCall.to(upstream, call, id, parts.tracing().propagationHeaders(span));
    Delivery delivery = new Delivery(call);
    try (HttpStream answer = parts.client().open(request)) {
      delivery.deliver(answer, id, attempts.count < MAX_ATTEMPTS && call.service().getIdempotent());
      settle(upstream, answer.status());
      parts.quarantine().survived(call);
      account(call, delivery, "ok");
      return Outcome.DONE;
    } catch (HttpCallException e) {
      parts.upstreams().recordFailure(upstream, parts.clock().now());
      if (parts.quarantine().failed(call, upstream, e)) {
        attempts.quarantined = true;
      }
      return failed(call, attempts, delivery, e);
    } catch (IOException e) {
      parts.upstreams().release(upstream);
      account(call, delivery, "caller-gone");
      IoUtils.safeClose(call.exchange().getConnection());
      return Outcome.DONE;
    } catch (RuntimeException e) {
      parts.upstreams().release(upstream);
      throw e;
    } finally {
      span.end();
    }
  }

  private void settle(PlatformInstance upstream, int status) {
    if (status >= 500) {
      parts.upstreams().recordFailure(upstream, parts.clock().now());
    } else {
      parts.upstreams().recordSuccess(upstream);
    }
  }

  private Outcome failed(
      CallContext call, Attempts attempts, Delivery delivery, HttpCallException failure) {
    boolean notSent = failure.execution() == HttpCallException.Execution.NOT_SENT;
    attempts.maybeRun |= !notSent;
    boolean silent = failure.reason() == HttpCallException.Reason.SILENT;
    attempts.silent = silent;
    if (attempts.maybeRun) {
      attempts.lastKind = silent ? ErrorKind.UPSTREAM_SILENT : ErrorKind.UPSTREAM_LOST;
    }
    if (attempts.quarantined) {
      attempts.lastKind = ErrorKind.QUARANTINED;
    }
    logger.atFine().log("attempt %d: %s", attempts.count, failure.getMessage());
    if (delivery.started()) {
      account(call, delivery, attempts.lastKind.code());
      IoUtils.safeClose(call.exchange().getConnection());
      return Outcome.DONE;
    }
    boolean repeatable = notSent || call.service().getIdempotent();
    if (repeatable && !attempts.quarantined) {
      return Outcome.REPEAT;
    }
    fail(call, attempts.lastKind, "");
    return Outcome.DONE;
  }

  private void account(CallContext call, Delivery delivery, String outcome) {
    boolean model = call.service().getKind() == ServiceKind.MODEL;
    call.addTokens(model ? delivery.tokens() : 0);
    if (!call.organisation().isEmpty()) {
      parts.ledger().add(call.organisation(), delivery.whole() ? 1 : 0, call.tokens());
    }
    count(call, outcome);
  }

  private void refuse(CallContext call, ErrorKind kind, String detail) {
    Refusal.send(call.exchange(), kind, detail, call.retryAfterMs());
    count(call, kind.code());
  }

  private void fail(CallContext call, ErrorKind kind, String detail) {
    if (call.exchange().isResponseStarted()) {
      IoUtils.safeClose(call.exchange().getConnection());
    }
    refuse(call, kind, detail);
  }

  private void count(CallContext call, String outcome) {
    long ms = parts.clock().now() - call.arrivedAt();
    parts.metrics().recordCall(call.service().getName(), call.organisation(), outcome, ms);
    call.span().setAttribute("outcome", outcome);
    logger.atInfo().log(
        "call service=%s organisation=%s outcome=%s ms=%d trace=%s",
        call.service().getName(),
        call.organisation(),
        outcome,
        ms,
        call.span().getSpanContext().getTraceId());
  }

  /** What is known of the attempts of one call. */
  private static final class Attempts {
    private final Set<String> visited = new HashSet<>();
    private int count;
    private boolean maybeRun;
    private boolean quarantined;
    private boolean silent;
    private ErrorKind lastKind = ErrorKind.NO_UPSTREAM;
  }
}
