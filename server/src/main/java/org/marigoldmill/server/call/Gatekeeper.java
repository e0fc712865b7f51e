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

/** Joins the admission of calls with the threads that carry them. */
final class Gatekeeper {
  private static final double MEAN_COST = 1;

  private final AdmissionController admission;
  private final SharedState state;
  private final ExecutorService workers;
  private final Clock clock;
  private final AtomicLong ids = new AtomicLong();
  private final Map<Long, CallContext> waiting = new ConcurrentHashMap<>();

  Gatekeeper(
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

  /** Starts a call, queues it, or starts it as refused. */
  void submit(CallContext call, Runnable command) {
    call.command(command);
    call.ticket(ticket(call));
    waiting.put(call.ticket().id(), call);
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

  /** Ends a call that was started. */
  void release(CallContext call) {
    long duration = clock.now() - call.startedAt();
    double cost = Math.max(MEAN_COST, (double) call.tokens());
    startAll(admission.release(call.ticket(), cost, duration));
  }

  /** Drops calls whose deadline has passed, and starts what fits into grown capacity. */
  void runRound() {
    admission.expire(clock.now()).forEach(t -> refuse(t, ErrorKind.DEADLINE_EXPIRED, 0));
    startAll(admission.startQueued());
  }

  int queued(String pool) {
    return admission.queued(pool);
  }

  private Ticket ticket(CallContext call) {
    return new Ticket(
        ids.incrementAndGet(),
        DeclarationRules.poolOf(call.service()),
        call.service().getPriority(),
        call.organisation(),
        state.config().weights().getOrDefault(call.organisation(), 1.0),
        MEAN_COST,
        call.deadline());
  }

  private void startAll(List<Ticket> tickets) {
    tickets.forEach(this::start);
  }

  private void start(Ticket ticket) {
    CallContext call = waiting.remove(ticket.id());
    call.startedAt(clock.now());
    try {
      workers.execute(call.command());
    } catch (RejectedExecutionException e) {
      call.refuse(ErrorKind.DRAINING, 0);
      call.command().run();
    }
  }

  private void refuse(Ticket ticket, ErrorKind kind, long retryAfterMs) {
    Optional.ofNullable(waiting.remove(ticket.id()))
        .ifPresent(
            call -> {
              call.ticket(null);
              call.refuse(kind, retryAfterMs);
              call.command().run();
            });
  }
}
