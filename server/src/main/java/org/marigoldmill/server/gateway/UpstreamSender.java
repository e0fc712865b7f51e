package org.marigoldmill.server.gateway;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.http.CallFailure;
import org.marigoldmill.http.HttpAnswer;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.UpstreamProtocol;

/** Sends single attempts and sees to it that an answer belongs to its attempt. */
public final class UpstreamSender {
  /** Longest time to open a connection to an upstream, in milliseconds. */
  public static final long CONNECT_MS = 300;

  private static final int CHUNK_BYTES = 16 * 1024;

  private final HttpClient client;
  private final UpstreamProtocol protocol;
  private final UpstreamTable loads;
  private final Clock clock;

  /** Creates a sender. */
  public UpstreamSender(
      HttpClient client, UpstreamProtocol protocol, UpstreamTable loads, Clock clock) {
    this.client = client;
    this.protocol = protocol;
    this.loads = loads;
    this.clock = clock;
  }

  /** Returns the protocol that attempts are sent in. */
  public UpstreamProtocol protocol() {
    return protocol;
  }

  /**
   * Sends an attempt and returns once the head of its answer is there.
   *
   * @throws CallFailure when no answer came, or one of another request
   */
  public HttpStream open(HttpCall call, UpstreamProtocol.Attempt attempt) {
    HttpStream stream = client.open(call);
    List<HttpCall.Header> headers = stream.headers();
    if (!protocol.matchesRequest(attempt.requestId(), headers)) {
      stream.cancel();
      stream.close();
      throw new CallFailure(
          CallFailure.Sent.MAYBE_RUN,
          CallFailure.Reason.CUT,
          "answer of another request at " + attempt.engineId(),
          null);
    }
    protocol
        .upstreamLoad(headers)
        .ifPresent(l -> loads.report(attempt.engineId(), l.running() + l.waiting(), clock.now()));
    return stream;
  }

  /**
   * Sends an attempt and reads its whole answer.
   *
   * @throws CallFailure when no whole answer came
   */
  public HttpAnswer exchange(HttpCall call, UpstreamProtocol.Attempt attempt) {
    try (HttpStream stream = open(call, attempt)) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      byte[] chunk = new byte[CHUNK_BYTES];
      for (int n = stream.read(chunk); n >= 0; n = stream.read(chunk)) {
        body.write(chunk, 0, n);
      }
      return new HttpAnswer(stream.status(), stream.headers(), body.toByteArray());
    }
  }
}
