package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.marigoldmill.core.attempt.AttemptTracker;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.limit.LimitWait;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.relay.RelayPeers.Peer;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.submission.EventSplitter;
import org.marigoldmill.core.submission.StallDetector;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.CallerProtocol;
import org.marigoldmill.server.deployment.UpstreamProtocol.Attempt;
import org.marigoldmill.server.gateway.UpstreamPicker.Pick;
import org.marigoldmill.server.gateway.UpstreamPicker.PickedUpstream;
import org.marigoldmill.server.reachability.UpstreamPathMonitor;
import org.marigoldmill.server.relay.RelayClient;
import org.marigoldmill.server.relay.RelayProtocol;
import org.xnio.IoUtils;

/**
 * Forwards requests whose response is an event stream, and relays each event as it arrives.
 *
 * <p>A broken stream is resumed at another engine where the route allows it. Otherwise the caller's
 * connection is closed without an end of the stream, so that the stream never looks complete.
 */
public final class StreamForwarder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CHUNK_BYTES = 8 * 1024;

  /** Callers abandon a stream after a gap of 2 s, so it must be resumed sooner. */
  private static final long IDLE_TIMEOUT_MS = 1_000;

  /** Longer, so that the carrying instance can resume the stream at another engine first. */
  private static final long RELAYED_IDLE_TIMEOUT_MS = 1_600;

  /** Bytes that complete no event count as a gap for callers too. */
  private static final long MAX_EVENT_GAP_MS = 1_500;

  /**
   * The outcome of a stream.
   *
   * @param begun whether the response to the caller has been started, so that an error response is
   *     no longer possible
   * @param whole whether the stream has been relayed to the caller up to its end
   * @param ran whether an engine has certainly started to run the request, even if nothing has been
   *     relayed
   * @param kind reason for an incomplete stream
   * @param engine engine of the last attempt
   * @param retryAfterMs time after which a refused caller may come back, in milliseconds
   */
  public record Outcome(
      boolean begun,
      boolean whole,
      boolean ran,
      ErrorKind kind,
      String engine,
      long retryAfterMs) {}

  private final UpstreamPicker picker;
  private final UpstreamTable upstreams;
  private final UpstreamSender sender;
  private final StreamOrigins origins;
  private final UpstreamPathMonitor path;
  private final RelayClient relay;
  private final CallerProtocol protocol;
  private final Clock clock;

  /**
   * Creates a forwarder.
   *
   * @param picker chooses the engine of each attempt
   * @param sender sends the attempts
   * @param origins tells with which software version streams were begun
   * @param protocol chooses the headers to return to callers
   */
  public StreamForwarder(
      UpstreamPicker picker,
      UpstreamTable upstreams,
      UpstreamSender sender,
      StreamOrigins origins,
      UpstreamPathMonitor path,
      RelayClient relay,
      CallerProtocol protocol,
      Clock clock) {
    this.picker = picker;
    this.upstreams = upstreams;
    this.sender = sender;
    this.origins = origins;
    this.path = path;
    this.relay = relay;
    this.protocol = protocol;
    this.clock = clock;
  }

  /**
   * Forwards a request and writes the response, if it begins, to the exchange.
   *
   * @param resumed the stream that the caller resumes, if the request does not start one
   */
  public Outcome forward(
      Forwarder.Request request,
      Optional<CallerProtocol.ResumedStream> resumed,
      HttpServerExchange exchange) {
    boolean relayOnly = resumed.isPresent() && relay.isNeeded();
    Optional<StreamOrigins.Begin> begin =
        resumed
            .filter(r -> !relayOnly)
            .map(r -> origins.begin(request.service(), r.firstRequest()));
    if (begin.filter(b -> b.origin() == StreamOrigins.Origin.UNKNOWN).isPresent()) {
      logger.atInfo().log("stream origin unknown id=%s resumed=%s", request.id(), resumed);
      return new Outcome(
          false, false, false, ErrorKind.KNOWLEDGE_STALE, "", Forwarder.RETRY_AFTER_MS);
    }
    exchange.startBlocking();
    return new AttemptLoop(
            request, begin.flatMap(StreamOrigins.Begin::softwareVersion), relayOnly, exchange)
        .run();
  }

  /** The attempts of one stream. */
  private final class AttemptLoop {
    private final Forwarder.Request request;
    private final HttpServerExchange exchange;

    /** Whether only other instances know with which software version the stream was begun. */
    private boolean relayOnly;

    private Optional<String> softwareVersion;
    private boolean onlyUnrecorded;
    private final Set<String> tried = new HashSet<>();
    private final Set<String> triedPeers = new HashSet<>();
    private OptionalLong lastEvent = OptionalLong.empty();
    private final AttemptTracker record;
    private String engine = "";
    private long retryAfterMs = Forwarder.RETRY_AFTER_MS;

    /** Whether the last attempt was given up because no upstream is reached. */
    private boolean abandoned;

    private boolean begun;
    private boolean whole;

    /** Whether an attempt goes on with the stream, and its first event has not arrived yet. */
    private boolean continuing;

    /**
     * Creates the loop.
     *
     * @param softwareVersion version of the engines that may continue the stream; empty to begin it
     * @param relayOnly whether only other instances know which engines may continue the stream
     */
    private AttemptLoop(
        Forwarder.Request request,
        Optional<String> softwareVersion,
        boolean relayOnly,
        HttpServerExchange exchange) {
      this.request = request;
      this.relayOnly = relayOnly;
      this.softwareVersion = softwareVersion;
      this.exchange = exchange;
      this.record = new AttemptTracker(request.route().retryable(), request.route().maxAttempts());
    }

    private Outcome run() {
      boolean mayContinue = true;
      while (mayContinue && record.maySend()) {
        mayContinue = attempt();
      }
      if (begun && !whole) {
        IoUtils.safeClose(exchange.getConnection());
      }
      return new Outcome(begun, whole, record.hasStarted(), record.kind(), engine, retryAfterMs);
    }

    /** Makes one attempt; returns whether another may follow. */
    private boolean attempt() {
      long remainingMs = request.deadlineMs() - clock.now();
      if (remainingMs <= 0) {
        record.recordDeadlineExpired();
        return false;
      }
      if (request.cancellation().isCancelled()) {
        record.recordCancelled();
        return false;
      }
      if (relayOnly || relay.isNeeded()) {
        return sendThroughPeer(remainingMs);
      }
      Pick pick = pickEngine(remainingMs);
      if (pick.picked().isEmpty()) {
        recordNoEngine(pick);
        return false;
      }
      PickedUpstream picked = pick.picked().get();
      if (!picker.awaitTurn(picked)) {
        return true;
      }
      PlatformInstance instance = picked.instance();
      engine = picked.engine().id();
      tried.add(engine);
      abandoned = false;
      record.recordSent();
      try {
        send(picked.engine(), remainingMs - picked.waitMs());
        upstreams.recordSuccess(instance);
        return true;
      } catch (HttpCallException e) {
        if (abandoned) {
          upstreams.release(instance);
        } else {
          upstreams.recordFailure(instance, clock.now());
        }
        return recordBreak(e);
      } catch (IOException e) {
        upstreams.release(instance);
        record.recordLost(false);
        logger.atInfo().log("caller disconnected id=%s cause=%s", request.id(), e.getMessage());
        return false;
      }
    }

    /** Lets another instance carry the stream; returns whether another attempt may follow. */
    private boolean sendThroughPeer(long remainingMs) {
      Optional<Peer> chosen =
          request.relay().isPresent()
              ? relay.acquire(triedPeers, request.zones())
              : Optional.empty();
      if (chosen.isEmpty()) {
        record.recordUnavailable(request.unrelayed());
        return false;
      }
      Peer peer = chosen.get();
      triedPeers.add(peer.name());
      engine = "via-" + peer.name();
      abandoned = false;
      int attempts = record.grantableAttempts();
      RelayClient.Call call =
          request.relayCall(attempts, lastEvent, remainingMs, RELAYED_IDLE_TIMEOUT_MS);
      record.recordSent(attempts);
      try (HttpStream stream = relay.open(peer, call)) {
        relayFromPeer(peer, stream);
        return true;
      } catch (HttpCallException e) {
        relay.recordLost(call, request.id(), peer, e);
        return recordBreak(e);
      } catch (IOException e) {
        relay.release(peer);
        record.recordLost(false);
        logger.atInfo().log("caller disconnected id=%s cause=%s", request.id(), e.getMessage());
        return false;
      }
    }

    private void relayFromPeer(Peer peer, HttpStream stream) throws IOException {
      RelayProtocol.Verdict verdict = relay.verdict(stream);
      if (verdict == RelayProtocol.Verdict.NOT_RUN) {
        relay.recordRefused(request.id(), peer);
        record.recordNotRun();
        return;
      }
      if (verdict == RelayProtocol.Verdict.MAYBE_RUN
          || stream.status() != 200
          || !mayContinue(stream)) {
        relay.recordAnswered(peer);
        record.recordLost(false);
        return;
      }
      relayOnly = true;
      startResponse(stream);
      relay(stream);
      whole = true;
      relay.recordAnswered(peer);
      record.recordAnsweredElsewhere();
    }

    private Pick pickEngine(long remainingMs) {
      long maxWaitMs = LimitWait.maxMs(request.route(), remainingMs);
      Pick pick =
          picker.pick(
              request.service(),
              request.urgency(),
              e -> !tried.contains(e.id()) && mayRun(e),
              maxWaitMs);
      return pick.picked().isPresent() || tried.isEmpty()
          ? pick
          : picker.pick(request.service(), request.urgency(), this::mayRun, maxWaitMs);
    }

    /** Returns whether an engine may begin the stream, or continue it where it was left. */
    private boolean mayRun(Engine candidate) {
      if (!request.mayRunAt(candidate)) {
        return false;
      }
      String version = candidate.softwareVersion();
      return softwareVersion.isPresent()
          ? softwareVersion.get().equals(version)
          : !onlyUnrecorded || origins.mayBeginUnrecorded(request.service(), version);
    }

    private void recordNoEngine(Pick pick) {
      if (pick.limited()) {
        retryAfterMs = LimitWait.retryAfterMs(pick.turnInMs(), request.id());
        logger.atInfo().log(
            "stream beyond limits id=%s service=%s turn_in_ms=%s retry_after_ms=%d",
            request.id(), request.service(), pick.turnInMs(), retryAfterMs);
      } else {
        record.recordUnavailable(picker.unavailability(request.service(), request.zones()));
      }
    }

    private void send(Engine target, long remainingMs) throws IOException {
      Attempt attempt =
          request.attempt(target, lastEvent, remainingMs, picker.announced(request.urgency()));
      HttpCall call =
          sender
              .protocol()
              .attemptCall(target.address(), attempt)
              .timeouts(
                  UpstreamSender.CONNECT_TIMEOUT_MS,
                  Math.min(remainingMs, IDLE_TIMEOUT_MS),
                  remainingMs)
              .freshConnection(!request.route().retryable());
      if (!request.route().retryable()) {
        receive(call.cancellation(request.cancellation()), attempt, target);
        return;
      }
      UpstreamPathMonitor.Watched watched = path.watch(request.cancellation());
      try (watched) {
        receive(call.cancellation(watched.cancellation()), attempt, target);
      } finally {
        abandoned = watched.abandoned();
      }
    }

    private void receive(HttpCall call, Attempt attempt, Engine target) throws IOException {
      try (HttpStream stream = sender.open(call, attempt)) {
        if (sender.protocol().notRun(stream.status(), stream.headers())) {
          record.recordNotRun();
          return;
        }
        if (stream.status() != 200 || !mayContinue(stream)) {
          record.recordFailed(stream.status() == 500);
          return;
        }
        record.recordStarted();
        if (!bindToVersion(target)) {
          record.recordLost(false);
          return;
        }
        startResponse(stream);
        relay(stream);
        whole = true;
        record.recordAnswered();
      }
    }

    /** Returns whether a response can be what is left of the stream, as opposed to an error. */
    private boolean mayContinue(HttpStream stream) {
      return lastEvent.isEmpty() || stream.mayBeEventStream();
    }

    /** Binds the stream to the software version of the engine that begins it, if it may. */
    private boolean bindToVersion(Engine target) {
      if (softwareVersion.isPresent() || !request.route().resumable()) {
        return true;
      }
      if (!origins.recordBegin(request.service(), request.id(), target.softwareVersion())) {
        onlyUnrecorded = true;
        return false;
      }
      softwareVersion = Optional.of(target.softwareVersion());
      return true;
    }

    /** Sets the status and the headers of the response from the first engine that answers. */
    private void startResponse(HttpStream stream) {
      if (begun) {
        return;
      }
      begun = true;
      RelayProtocol.setVerdict(exchange, RelayProtocol.Verdict.ANSWERED);
      exchange.setStatusCode(stream.status());
      RelayProtocol.withoutRelayHeaders(protocol.returnedHeaders(stream.headers()))
          .forEach(h -> exchange.getResponseHeaders().add(new HttpString(h.name()), h.value()));
      // On a connection that closes after the response, Undertow would let the close mark its end,
      // and a stream that is cut would look complete.
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
    }

    private void relay(HttpStream stream) throws IOException {
      continuing = lastEvent.isPresent();
      EventSplitter splitter = new EventSplitter();
      StallDetector stall = new StallDetector(MAX_EVENT_GAP_MS, clock.now());
      byte[] chunk = new byte[CHUNK_BYTES];
      OutputStream out = exchange.getOutputStream();
      for (int n = stream.read(chunk); n >= 0; n = stream.read(chunk)) {
        List<EventSplitter.RawEvent> events = readEvents(splitter, chunk, n);
        for (EventSplitter.RawEvent event : events) {
          relayEvent(event, out);
        }
        out.flush();
        if (stall.stalledAfter(events.size(), clock.now())) {
          throw HttpCallException.stalled(engine);
        }
      }
      if (splitter.hasPartialEvent()) {
        throw new HttpCallException(
            HttpCallException.Execution.MAYBE_RUN,
            HttpCallException.Reason.CUT,
            "stream ended inside an event at " + engine,
            null);
      }
      // Closing a stream without a flush would add a length to the chunked response.
      out.flush();
      out.close();
    }

    private List<EventSplitter.RawEvent> readEvents(
        EventSplitter splitter, byte[] chunk, int length) {
      try {
        return splitter.read(chunk, length);
      } catch (IllegalArgumentException e) {
        throw new HttpCallException(
            HttpCallException.Execution.MAYBE_RUN,
            HttpCallException.Reason.OVERSIZED,
            e.getMessage() + " from " + engine,
            e);
      }
    }

    /**
     * Skips an event that was relayed before; a missing event fails the attempt, and so does one
     * without an id where the stream goes on.
     */
    private void relayEvent(EventSplitter.RawEvent event, OutputStream out) throws IOException {
      if (continuing && event.id().isEmpty() && !event.isComment()) {
        throw notContinued("none");
      }
      if (event.id().isEmpty() || lastEvent.isEmpty()) {
        out.write(event.bytes());
        lastEvent = event.id().isPresent() ? event.id() : lastEvent;
        return;
      }
      long expected = lastEvent.getAsLong() + 1;
      if (event.id().getAsLong() > expected) {
        throw notContinued(Long.toString(event.id().getAsLong()));
      }
      if (event.id().getAsLong() == expected) {
        continuing = false;
        out.write(event.bytes());
        lastEvent = event.id();
      }
    }

    private HttpCallException notContinued(String id) {
      long expected = lastEvent.getAsLong() + 1;
      return new HttpCallException(
          HttpCallException.Execution.MAYBE_RUN,
          HttpCallException.Reason.CUT,
          "expected event " + expected + " from " + engine + " but got id " + id,
          null);
    }

    /** Returns whether another attempt may start or resume the stream. */
    private boolean recordBreak(HttpCallException failure) {
      logger.atInfo().log(
          "stream broken id=%s engine=%s software=%s reason=%s abandoned=%s last_event=%s",
          request.id(),
          engine,
          softwareVersion.orElse("none"),
          failure.reason(),
          abandoned,
          lastEvent);
      if (abandoned) {
        record.recordAbandoned();
      } else if (failure.execution() == HttpCallException.Execution.NOT_SENT) {
        record.recordNotRun();
      } else {
        record.recordLost(failure.reason() == HttpCallException.Reason.SILENT);
      }
      return !begun || lastEvent.isPresent();
    }
  }
}
