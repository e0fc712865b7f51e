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
import org.marigoldmill.server.gateway.UpstreamPicker.PickedUpstream;
import org.xnio.IoUtils;

/**
 * Forwards requests whose answer is an event stream, and relays each event as it arrives.
 *
 * <p>A broken stream is resumed at another engine where the route allows it. Otherwise the caller's
 * connection is closed without an end of the stream, so that the stream never looks complete.
 */
public final class StreamForwarder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CHUNK_BYTES = 8 * 1024;

  /** Callers abandon a stream after a gap of 2 s, so it must be resumed sooner. */
  private static final long IDLE_TIMEOUT_MS = 1_000;

  /**
   * The outcome of a stream.
   *
   * @param begun whether the response to the caller has been started
   * @param whole whether the whole stream has been relayed
   * @param ran whether an engine has certainly started to run the request
   * @param kind reason for an incomplete stream
   * @param engine engine of the last attempt
   */
  public record Outcome(boolean begun, boolean whole, boolean ran, ErrorKind kind, String engine) {}

  private final UpstreamPicker picker;
  private final UpstreamTable upstreams;
  private final UpstreamSender sender;
  private final CallerProtocol protocol;
  private final Clock clock;

  /** Creates a forwarder. */
  public StreamForwarder(
      UpstreamPicker picker,
      UpstreamTable upstreams,
      UpstreamSender sender,
      CallerProtocol protocol,
      Clock clock) {
    this.picker = picker;
    this.upstreams = upstreams;
    this.sender = sender;
    this.protocol = protocol;
    this.clock = clock;
  }

  /** Forwards a request and writes the answer, if it begins, to the exchange. */
  public Outcome forward(Forwarder.Request request, HttpServerExchange exchange) {
    exchange.startBlocking();
    return new AttemptLoop(request, exchange).run();
  }

  /** The attempts of one stream. */
  private final class AttemptLoop {
    private final Forwarder.Request request;
    private final HttpServerExchange exchange;
    private final Set<String> tried = new HashSet<>();
    private OptionalLong lastEvent = OptionalLong.empty();
    private final AttemptRecord record;
    private String engine = "";
    private boolean begun;
    private boolean whole;

    private AttemptLoop(Forwarder.Request request, HttpServerExchange exchange) {
      this.request = request;
      this.exchange = exchange;
      this.record = new AttemptRecord(request.route().retryable(), request.route().maxAttempts());
    }

    private Outcome run() {
      boolean mayContinue = true;
      while (mayContinue && record.maySend()) {
        mayContinue = attempt();
      }
      if (begun && !whole) {
        IoUtils.safeClose(exchange.getConnection());
      }
      return new Outcome(begun, whole, record.ran(), record.kind(), engine);
    }

    /** Makes one attempt; returns whether another may follow. */
    private boolean attempt() {
      long remainingMs = request.deadlineMs() - clock.now();
      if (remainingMs <= 0) {
        record.expired();
        return false;
      }
      if (request.cancellation().cancelled()) {
        record.withdrawn();
        return false;
      }
      Optional<PickedUpstream> picked =
          picker
              .pick(request.service(), name -> !tried.contains(name))
              .or(() -> picker.pick(request.service(), name -> true));
      if (picked.isEmpty()) {
        return false;
      }
      PlatformInstance instance = picked.get().instance();
      engine = picked.get().engine().id();
      tried.add(engine);
      record.sent();
      try {
        send(picked.get().engine(), remainingMs);
        upstreams.succeeded(instance);
        return true;
      } catch (CallFailure e) {
        upstreams.failed(instance, clock.now());
        return recordBreak(e);
      } catch (IOException e) {
        upstreams.released(instance);
        record.lost(false);
        logger.atInfo().log("caller disconnected id=%s cause=%s", request.id(), e.getMessage());
        return false;
      }
    }

    private void send(Engine target, long remainingMs) throws IOException {
      Attempt attempt = request.attempt(target.id(), lastEvent, remainingMs);
      HttpCall call =
          sender
              .protocol()
              .call(target.address(), attempt)
              .timeouts(
                  UpstreamSender.CONNECT_TIMEOUT_MS,
                  Math.min(remainingMs, IDLE_TIMEOUT_MS),
                  remainingMs)
              .freshIf(!request.route().retryable())
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
        startResponse(stream);
        relay(stream);
        whole = true;
        record.answered();
      }
    }

    /** Sets the status and the headers of the response from the first engine that answers. */
    private void startResponse(HttpStream stream) {
      if (begun) {
        return;
      }
      begun = true;
      exchange.setStatusCode(stream.status());
      protocol
          .returned(stream.headers())
          .forEach(h -> exchange.getResponseHeaders().add(new HttpString(h.name()), h.value()));
    }

    private void relay(HttpStream stream) throws IOException {
      EventSplitter splitter = new EventSplitter();
      byte[] chunk = new byte[CHUNK_BYTES];
      OutputStream out = exchange.getOutputStream();
      for (int n = stream.read(chunk); n >= 0; n = stream.read(chunk)) {
        for (EventSplitter.RawEvent event : splitter.read(chunk, n)) {
          relayEvent(event, out);
        }
        out.flush();
      }
      if (splitter.hasPartialEvent()) {
        throw new CallFailure(
            CallFailure.Sent.MAYBE_RUN,
            CallFailure.Reason.CUT,
            "stream ended inside an event at " + engine,
            null);
      }
      out.close();
    }

    /** Skips an event that was relayed before; a missing event fails the attempt. */
    private void relayEvent(EventSplitter.RawEvent event, OutputStream out) throws IOException {
      if (event.id().isEmpty() || lastEvent.isEmpty()) {
        out.write(event.bytes());
        lastEvent = event.id().isPresent() ? event.id() : lastEvent;
        return;
      }
      long expected = lastEvent.getAsLong() + 1;
      if (event.id().getAsLong() > expected) {
        throw new CallFailure(
            CallFailure.Sent.MAYBE_RUN,
            CallFailure.Reason.CUT,
            "expected event " + expected + " from " + engine + " but got " + event.id().getAsLong(),
            null);
      }
      if (event.id().getAsLong() == expected) {
        out.write(event.bytes());
        lastEvent = event.id();
      }
    }

    /** Returns whether another attempt may start or resume the stream. */
    private boolean recordBreak(CallFailure failure) {
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
