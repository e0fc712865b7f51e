package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.marigoldmill.core.attempt.AttemptRecord;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.submission.EventSplitter;
import org.marigoldmill.http.CallFailure;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.CallerProtocol;
import org.marigoldmill.server.deployment.UpstreamProtocol.Attempt;
import org.marigoldmill.server.gateway.UpstreamPicker.Picked;
import org.xnio.IoUtils;

/**
 * Carries requests whose answer is a series of events, and passes each event on as it arrives.
 *
 * <p>A broken stream goes on at another engine where the route allows it. Otherwise the caller's
 * connection is closed without an end, so that the stream never looks whole.
 */
public final class StreamCarrier {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CHUNK_BYTES = 8 * 1024;

  /** Callers give a stream up after a gap of two seconds, so a resumption must come sooner. */
  private static final long SILENCE_MS = 1_000;

  /**
   * What became of a stream.
   *
   * @param begun whether the caller has got the head of an answer
   * @param whole whether the caller has got all of it
   * @param ran whether an engine has begun to run it
   * @param kind why it is not whole
   * @param engine engine of the last attempt
   */
  public record Outcome(boolean begun, boolean whole, boolean ran, ErrorKind kind, String engine) {}

  private final UpstreamPicker picker;
  private final UpstreamTable upstreams;
  private final UpstreamSender sender;
  private final CallerProtocol callers;
  private final Clock clock;

  /** Creates a carrier that sends to the upstreams of a picker. */
  public StreamCarrier(
      UpstreamPicker picker,
      UpstreamTable upstreams,
      UpstreamSender sender,
      CallerProtocol callers,
      Clock clock) {
    this.picker = picker;
    this.upstreams = upstreams;
    this.sender = sender;
    this.callers = callers;
    this.clock = clock;
  }

  /** Carries a request; the answer, if it begins, goes to the caller. */
  public Outcome carry(Forwarder.Request request, HttpServerExchange exchange) {
    exchange.startBlocking();
    return new Carriage(request, exchange).run();
  }

  /** The attempts of one stream. */
  private final class Carriage {
    private final Forwarder.Request request;
    private final HttpServerExchange exchange;
    private final Set<String> visited = new HashSet<>();
    private OptionalLong lastEvent = OptionalLong.empty();
    private final AttemptRecord record;
    private String engine = "";
    private boolean begun;
    private boolean whole;

    private Carriage(Forwarder.Request request, HttpServerExchange exchange) {
      this.request = request;
      this.exchange = exchange;
      this.record = new AttemptRecord(request.route().repeatable(), request.route().maxAttempts());
    }

    private Outcome run() {
      boolean goesOn = true;
      while (goesOn && record.maySend()) {
        goesOn = attempt();
      }
      if (begun && !whole) {
        IoUtils.safeClose(exchange.getConnection());
      }
      return new Outcome(begun, whole, record.ran(), record.kind(), engine);
    }

    /** Makes one attempt; returns whether the stream may go on with another. */
    private boolean attempt() {
      long remaining = request.deadline() - clock.now();
      if (remaining <= 0) {
        record.expired();
        return false;
      }
      if (request.cancellation().cancelled()) {
        record.withdrawn();
        return false;
      }
      Optional<Picked> chosen =
          picker
              .pick(request.service(), name -> !visited.contains(name))
              .or(() -> picker.pick(request.service(), name -> true));
      if (chosen.isEmpty()) {
        return false;
      }
      PlatformInstance instance = chosen.get().instance();
      engine = chosen.get().engine().id();
      visited.add(engine);
      record.sent();
      try {
        send(chosen.get().engine(), remaining);
        upstreams.succeeded(instance);
        return true;
      } catch (CallFailure e) {
        upstreams.failed(instance, clock.now());
        return broken(e);
      } catch (IOException e) {
        upstreams.released(instance);
        record.lost(false);
        logger.atInfo().log("caller has left id=%s cause=%s", request.id(), e.getMessage());
        return false;
      }
    }

    private void send(Engine target, long remaining) throws IOException {
      Attempt attempt = request.attempt(target.id(), lastEvent, remaining);
      HttpCall call =
          sender
              .protocol()
              .attemptCall(target.address(), attempt)
              .timeouts(UpstreamSender.CONNECT_MS, Math.min(remaining, SILENCE_MS), remaining)
              .freshIf(!request.route().repeatable())
              .cancelledBy(request.cancellation());
      try (HttpStream stream = sender.open(call, attempt)) {
        if (sender.protocol().notRun(stream.status(), stream.headers())) {
          record.notRun();
          return;
        }
        if (stream.status() != 200) {
          record.failed(stream.status() == 500);
          return;
        }
        record.began();
        begin(stream);
        relay(stream);
        whole = true;
        record.answered();
      }
    }

    /** The head of the first engine's answer holds for the whole stream. */
    private void begin(HttpStream stream) {
      if (begun) {
        return;
      }
      begun = true;
      exchange.setStatusCode(stream.status());
      callers
          .returnedHeaders(stream.headers())
          .forEach(h -> exchange.getResponseHeaders().add(new HttpString(h.name()), h.value()));
    }

    private void relay(HttpStream stream) throws IOException {
      EventSplitter splitter = new EventSplitter();
      byte[] chunk = new byte[CHUNK_BYTES];
      OutputStream out = exchange.getOutputStream();
      for (int n = stream.read(chunk); n >= 0; n = stream.read(chunk)) {
        for (EventSplitter.RawEvent event : splitter.read(chunk, n)) {
          pass(event, out);
        }
        out.flush();
      }
      if (splitter.inside()) {
        throw new CallFailure(
            CallFailure.Sent.MAYBE_RUN,
            CallFailure.Reason.CUT,
            "stream ended inside an event at " + engine,
            null);
      }
      out.close();
    }

    /** An event that came before is left out; one that is missing breaks the attempt off. */
    private void pass(EventSplitter.RawEvent event, OutputStream out) throws IOException {
      if (event.id().isEmpty() || lastEvent.isEmpty()) {
        out.write(event.bytes());
        lastEvent = event.id().isPresent() ? event.id() : lastEvent;
        return;
      }
      long next = lastEvent.getAsLong() + 1;
      if (event.id().getAsLong() > next) {
        throw new CallFailure(
            CallFailure.Sent.MAYBE_RUN,
            CallFailure.Reason.CUT,
            "event " + event.id().getAsLong() + " instead of " + next + " from " + engine,
            null);
      }
      if (event.id().getAsLong() == next) {
        out.write(event.bytes());
        lastEvent = event.id();
      }
    }

    /** Returns whether the stream may go on: not begun, or begun and known up to an event. */
    private boolean broken(CallFailure failure) {
      logger.atInfo().log(
          "stream broken id=%s engine=%s reason=%s last_event=%s",
          request.id(), engine, failure.reason(), lastEvent);
      if (failure.sent() == CallFailure.Sent.NOT_SENT) {
        record.notRun();
      } else {
        record.lost(failure.reason() == CallFailure.Reason.SILENT);
      }
      return !begun || lastEvent.isPresent();
    }
  }
}
