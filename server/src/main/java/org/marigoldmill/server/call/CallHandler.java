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

/** Forwards admitted calls to upstreams, with retries, and their responses to the callers. */
public final class CallHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_ATTEMPTS = 3;

  /** Collaborators of the call handler, and the zone whose upstreams it uses. */
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

  private enum AttemptResult {
    DONE,
    RETRY
  }

  private final Dependencies dependencies;
  private final CallDispatcher dispatcher;
  private final CallLimits limits;
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
  private final Set<CallContext> openCalls = ConcurrentHashMap.newKeySet();

  /** Creates a handler. */
  CallHandler(Dependencies dependencies, CallDispatcher dispatcher, CallLimits limits) {
    this.dependencies = dependencies;
    this.dispatcher = dispatcher;
    this.limits = limits;
  }

  /** Submits a call whose body has been received. */
  void accept(CallContext call) {
    openCalls.add(call);
    call.exchange()
        .addExchangeCompleteListener(
            (exchange, next) -> {
              openCalls.remove(call);
              next.proceed();
            });
    call.exchange().dispatch(command -> dispatcher.submit(call, command), () -> run(call));
  }

  /** Aborts the open calls whose API key has one of these hashes. */
  void abortCallsWithKeys(Set<String> hashes) {
    openCalls.stream().filter(c -> hashes.contains(c.keyHash())).forEach(CallContext::abort);
  }

  private void run(CallContext call) {
    boolean admitted = call.ticket() != null;
    try {
      if (call.refusal() != null) {
        refuse(call, call.refusal(), "");
      } else {
        claimAndRun(call);
      }
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log(
          "unexpected exception in a call of service %s", call.service().getName());
      fail(call, ErrorKind.INTERNAL, "");
    } finally {
      if (admitted) {
        dispatcher.release(call);
      }
      call.span().end();
    }
  }

  private void claimAndRun(CallContext call) {
    if (dependencies.quarantine().isQuarantined(call)) {
      refuse(call, ErrorKind.QUARANTINED, "");
      return;
    }
    Optional<RunClaim> claim = dependencies.claims().requiredClaim(call);
    Optional<ErrorKind> refusal = claim.flatMap(dependencies.claims()::acquire);
    if (refusal.isPresent()) {
      refuse(call, refusal.get(), "");
      return;
    }
    boolean sent = callUpstreams(call);
    claim.filter(c -> !sent).ifPresent(dependencies.claims()::release);
  }

  /** Makes attempts until the call ends; returns whether an upstream may have run it. */
  private boolean callUpstreams(CallContext call) {
    RetryBudget budget = budgets.computeIfAbsent(call.service().getName(), s -> new RetryBudget());
    budget.recordFirstAttempt();
    AttemptState attempts = new AttemptState();
    String pool = DeclarationRules.poolOf(call.service());
    while (true) {
      Optional<PlatformInstance> upstream = acquire(pool, attempts);
      if (upstream.isEmpty()) {
        fail(call, attempts.lastError, "");
        return attempts.mayHaveRun;
      }
      if (attempt(upstream.get(), call, attempts) == AttemptResult.DONE) {
        return true;
      }
      boolean retry =
          attempts.count < MAX_ATTEMPTS
              && dependencies.clock().now() < call.deadlineMs()
              && (!attempts.mayHaveRun || budget.tryAcquireRetry());
      if (!retry) {
        fail(call, attempts.lastError, "");
        return attempts.mayHaveRun;
      }
      dependencies.metrics().recordRetry(call.service().getName());
    }
  }

  /**
   * Acquires an upstream that the call has not tried yet. After a timeout an upstream may be tried
   * again if no other is left, since the cause may be the connection and not the upstream.
   */
  private Optional<PlatformInstance> acquire(String pool, AttemptState attempts) {
    return acquire(pool, i -> !attempts.triedUpstreams.contains(i.getName()))
        .or(() -> attempts.lastWasSilent ? acquire(pool, i -> true) : Optional.empty());
  }

  private Optional<PlatformInstance> acquire(String pool, Predicate<PlatformInstance> eligible) {
    return dependencies
        .upstreams()
        .acquire(
            pool,
            dependencies.zone(),
            limits.maxOutstandingPerUpstream(pool),
            eligible,
            dependencies.clock().now());
  }

  private AttemptResult attempt(
      PlatformInstance upstream, CallContext call, AttemptState attempts) {
    attempts.count++;
    attempts.triedUpstreams.add(upstream.getName());
    String requestId = UUID.randomUUID().toString();
    Span span = dependencies.tracing().startClientSpan(call.span(), "attempt");
    span.setAttribute("upstream", upstream.getName());
    HttpCall request =
        UpstreamRequest.create(
            upstream, call, requestId, dependencies.tracing().propagationHeaders(span));
    ResponseForwarder forwarder = new ResponseForwarder(call);
    try (HttpStream response = dependencies.client().open(request)) {
      forwarder.forward(
          response, requestId, attempts.count < MAX_ATTEMPTS && call.service().getIdempotent());
      recordStatus(upstream, response.status());
      dependencies.quarantine().recordSuccess(call);
      recordUsage(call, forwarder, "ok");
      return AttemptResult.DONE;
    } catch (HttpCallException e) {
      dependencies.upstreams().recordFailure(upstream, dependencies.clock().now());
      if (dependencies.quarantine().recordFailure(call, upstream, e)) {
        attempts.quarantined = true;
      }
      return afterFailure(call, attempts, forwarder, e);
    } catch (IOException e) {
      dependencies.upstreams().release(upstream);
      recordUsage(call, forwarder, "caller-gone");
      IoUtils.safeClose(call.exchange().getConnection());
      return AttemptResult.DONE;
    } catch (RuntimeException e) {
      dependencies.upstreams().release(upstream);
      throw e;
    } finally {
      span.end();
    }
  }

  private void recordStatus(PlatformInstance upstream, int status) {
    if (status >= 500) {
      dependencies.upstreams().recordFailure(upstream, dependencies.clock().now());
    } else {
      dependencies.upstreams().recordSuccess(upstream);
    }
  }

  private AttemptResult afterFailure(
      CallContext call,
      AttemptState attempts,
      ResponseForwarder forwarder,
      HttpCallException failure) {
    boolean notSent = failure.execution() == HttpCallException.Execution.NOT_SENT;
    attempts.mayHaveRun |= !notSent;
    boolean silent = failure.reason() == HttpCallException.Reason.SILENT;
    attempts.lastWasSilent = silent;
    if (attempts.mayHaveRun) {
      attempts.lastError = silent ? ErrorKind.UPSTREAM_SILENT : ErrorKind.UPSTREAM_LOST;
    }
    if (attempts.quarantined) {
      attempts.lastError = ErrorKind.QUARANTINED;
    }
    logger.atFine().log("attempt %d failed: %s", attempts.count, failure.getMessage());
    if (forwarder.started()) {
      recordUsage(call, forwarder, attempts.lastError.code());
      IoUtils.safeClose(call.exchange().getConnection());
      return AttemptResult.DONE;
    }
    boolean retryable = notSent || call.service().getIdempotent();
    if (retryable && !attempts.quarantined) {
      return AttemptResult.RETRY;
    }
    fail(call, attempts.lastError, "");
    return AttemptResult.DONE;
  }

  private void recordUsage(CallContext call, ResponseForwarder forwarder, String outcome) {
    boolean model = call.service().getKind() == ServiceKind.MODEL;
    call.addTokens(model ? forwarder.tokens() : 0);
    if (!call.organisation().isEmpty()) {
      dependencies.ledger().add(call.organisation(), forwarder.complete() ? 1 : 0, call.tokens());
    }
    recordOutcome(call, outcome);
  }

  private void refuse(CallContext call, ErrorKind kind, String detail) {
    Refusal.send(call.exchange(), kind, detail, call.retryAfterMs());
    recordOutcome(call, kind.code());
  }

  private void fail(CallContext call, ErrorKind kind, String detail) {
    if (call.exchange().isResponseStarted()) {
      IoUtils.safeClose(call.exchange().getConnection());
    }
    refuse(call, kind, detail);
  }

  private void recordOutcome(CallContext call, String outcome) {
    long durationMs = dependencies.clock().now() - call.arrivedAtMs();
    dependencies
        .metrics()
        .recordCall(call.service().getName(), call.organisation(), outcome, durationMs);
    call.span().setAttribute("outcome", outcome);
    logger.atInfo().log(
        "call service=%s organisation=%s outcome=%s ms=%d trace=%s",
        call.service().getName(),
        call.organisation(),
        outcome,
        durationMs,
        call.span().getSpanContext().getTraceId());
  }

  /** State of the attempts of one call. */
  private static final class AttemptState {
    private final Set<String> triedUpstreams = new HashSet<>();
    private int count;
    private boolean mayHaveRun;
    private boolean quarantined;
    private boolean lastWasSilent;
    private ErrorKind lastError = ErrorKind.NO_UPSTREAM;
  }
}
