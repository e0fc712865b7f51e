package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.OptionalDouble;
import org.marigoldmill.core.limit.NamedLimits;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.UpstreamProtocol;

/** Sends single attempts and verifies that each response belongs to its request. */
public final class UpstreamSender {
  /** Timeout for opening a connection to an upstream, in milliseconds. */
  public static final long CONNECT_TIMEOUT_MS = 300;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CHUNK_BYTES = 16 * 1024;

  private final HttpClient client;
  private final UpstreamProtocol protocol;
  private final UpstreamTable upstreams;
  private final NamedLimits limits;
  private final Clock clock;

  /** Creates a sender. */
  public UpstreamSender(
      HttpClient client,
      UpstreamProtocol protocol,
      UpstreamTable upstreams,
      NamedLimits limits,
      Clock clock) {
    this.client = client;
    this.protocol = protocol;
    this.upstreams = upstreams;
    this.limits = limits;
    this.clock = clock;
  }

  /** Returns the protocol spoken with upstreams. */
  public UpstreamProtocol protocol() {
    return protocol;
  }

  /**
   * Sends an attempt and returns once the head of its response has arrived.
   *
   * @throws HttpCallException if no response arrives, or one that belongs to another request
   */
  public HttpStream open(HttpCall call, UpstreamProtocol.Attempt attempt) {
    limits.countAttempt(attempt.engineId(), attempt.incarnation(), clock.now());
    HttpStream stream = client.open(call);
    List<HttpCall.Header> headers = stream.headers();
    if (!protocol.matchesRequest(attempt.requestId(), headers)) {
      stream.cancel();
      stream.close();
      throw new HttpCallException(
          HttpCallException.Execution.MAYBE_RUN,
          HttpCallException.Reason.CUT,
          "response from "
              + attempt.engineId()
              + " does not belong to request "
              + attempt.requestId(),
          null);
    }
    protocol
        .upstreamLoad(headers)
        .ifPresent(
            l ->
                upstreams.recordReportedLoad(
                    attempt.engineId(), l.running() + l.waiting(), clock.now()));
    recordLimit(attempt, protocol.requestLimit(headers));
    return stream;
  }

  private void recordLimit(UpstreamProtocol.Attempt attempt, OptionalDouble limit) {
    limits
        .recordAnswer(attempt.engineId(), attempt.incarnation(), limit, clock.now())
        .ifPresent(
            c ->
                logger.atInfo().log(
                    "engine limit engine=%s incarnation=%d limit=%s before=%s attempts=%d"
                        + " period_ms=%d",
                    attempt.engineId(),
                    attempt.incarnation(),
                    rateOrNone(c.after()),
                    rateOrNone(c.before()),
                    c.attempts(),
                    c.periodMs()));
  }

  private static String rateOrNone(OptionalDouble requestsPerSecond) {
    return requestsPerSecond.isPresent()
        ? Double.toString(requestsPerSecond.getAsDouble())
        : "none";
  }

  /**
   * Sends an attempt and reads its whole response.
   *
   * @throws HttpCallException if no complete response arrives
   */
  public HttpResponse exchange(HttpCall call, UpstreamProtocol.Attempt attempt) {
    try (HttpStream stream = open(call, attempt)) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      byte[] chunk = new byte[CHUNK_BYTES];
      for (int n = stream.read(chunk); n >= 0; n = stream.read(chunk)) {
        body.write(chunk, 0, n);
      }
      return new HttpResponse(stream.status(), stream.headers(), body.toByteArray());
    }
  }
}
