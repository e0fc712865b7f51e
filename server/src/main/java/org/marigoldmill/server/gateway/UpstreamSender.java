package org.marigoldmill.server.gateway;

import java.util.List;
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

  private final HttpClient client;
  private final UpstreamProtocol protocol;
  private final AnswerObserver answers;
  private final Clock clock;

  /** Creates a sender. */
  public UpstreamSender(
      HttpClient client, UpstreamProtocol protocol, AnswerObserver answers, Clock clock) {
    this.client = client;
    this.protocol = protocol;
    this.answers = answers;
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
    answers.recordSent(attempt.engineId(), attempt.incarnation());
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
    answers.recordAnswer(attempt.engineId(), attempt.incarnation(), headers);
    return stream;
  }

  /**
   * Sends an attempt and reads its whole response.
   *
   * @throws HttpCallException if no complete response arrives
   */
  public HttpResponse exchange(HttpCall call, UpstreamProtocol.Attempt attempt) {
    long sentAtMs = clock.now();
    try (HttpStream stream = open(call, attempt)) {
      HttpResponse response = HttpClient.readAll(stream, attempt.engineId());
      if (response.status() == 200) {
        answers.recordResponseTime(
            attempt.engineId(), attempt.incarnation(), clock.now() - sentAtMs);
      }
      return response;
    }
  }
}
