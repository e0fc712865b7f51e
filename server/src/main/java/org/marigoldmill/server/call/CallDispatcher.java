package org.marigoldmill.server.call;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import org.marigoldmill.core.admission.AdmissionController;
import org.marigoldmill.core.admission.Ticket;
import org.marigoldmill.core.config.DeclarationRules;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.state.SharedState;

/** Runs calls on the worker threads once admission control admits them. */
final class CallDispatcher {
  private static final double DEFAULT_COST_TOKENS = 1;

  private final AdmissionController admission;
  private final SharedState state;
  private final ExecutorService workers;
  private final Clock clock;
  private final AtomicLong nextId = new AtomicLong();
  private final Map<Long, CallContext> queuedCalls = new ConcurrentHashMap<>();

  CallDispatcher(
      SharedState state,
      UpstreamTable upstreams,
      ExecutorService workers,
      int threads,
      Clock clock) {
    this.state = state;
    this.workers = workers;
    this.clock = clock;
    this.admission =
        AdmissionController.withLimits(
            pool ->
                Math.min(
                    threads,
                    upstreams.usable(pool).size() * state.config().inFlightPerUpstream(pool)),
            pool -> state.config().queueLimit(pool));
  }

  /**
   * Starts, queues or refuses a call. The command of a refused call is executed without waiting for
   * a slot; it sends the refusal to the caller.
   */
  void submit(CallContext call, Runnable command) {
    call.command(command);
    call.ticket(newTicket(call));
    queuedCalls.put(call.ticket().id(), call);
    AdmissionController.Decision decision = admission.offer(call.ticket(), clock.now());
    switch (decision.verdict()) {
      case ADMITTED -> start(call.ticket());
      case REFUSED -> refuse(call.ticket(), ErrorKind.OVERLOADED, decision.retryAfterMs());
      default ->
          decision
              .evicted()
              .ifPresent(t -> refuse(t, ErrorKind.OVERLOADED, decision.retryAfterMs()));
    }
  }

  /** Releases the slot of a call that was started, and starts the calls that it makes room for. */
  void release(CallContext call) {
    long durationMs = clock.now() - call.startedAtMs();
    double costTokens = Math.max(DEFAULT_COST_TOKENS, (double) call.tokens());
    startCalls(admission.release(call.ticket(), costTokens, durationMs));
  }

  /** Refuses queued calls whose deadline has passed; starts others if capacity has grown. */
  void expireAndStartQueued() {
    admission.expire(clock.now()).forEach(t -> refuse(t, ErrorKind.DEADLINE_EXPIRED, 0));
    startCalls(admission.startQueued());
  }

  int queued(String pool) {
    return admission.queued(pool);
  }

  private Ticket newTicket(CallContext call) {
    return new Ticket(
        nextId.incrementAndGet(),
        DeclarationRules.poolOf(call.service()),
        call.service().getPriority(),
        call.organisation(),
        state.config().weights().getOrDefault(call.organisation(), 1.0),
        DEFAULT_COST_TOKENS,
        call.deadlineMs());
  }

  private void startCalls(List<Ticket> tickets) {
    tickets.forEach(this::start);
  }

  private void start(Ticket ticket) {
    CallContext call = queuedCalls.remove(ticket.id());
    call.startedAtMs(clock.now());
    try {
      workers.execute(call.command());
    } catch (RejectedExecutionException e) {
      call.refuse(ErrorKind.DRAINING, 0);
      call.command().run();
    }
  }

  private void refuse(Ticket ticket, ErrorKind kind, long retryAfterMs) {
    Optional.ofNullable(queuedCalls.remove(ticket.id()))
        .ifPresent(
            call -> {
              call.ticket(null);
              call.refuse(kind, retryAfterMs);
              call.command().run();
            });
  }
}
