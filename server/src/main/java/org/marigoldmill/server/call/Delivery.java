package org.marigoldmill.server.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpStream;

/**
 * Passes one answer to its caller.
 *
 * <p>A short answer is read whole before its first byte is passed on, so that a cut can be
 * repeated. A long one is passed on as it arrives; if it is cut, the caller's connection is closed
 * without an end mark, so that it is never taken for whole.
 */
final class Delivery {
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final int WHOLE_BODY_BYTES = 64 * 1024;

  private final CallContext call;
  private final TokenScanner scanner = new TokenScanner();
  private boolean started;
  private boolean whole;

  Delivery(CallContext call) {
    this.call = call;
  }

  boolean started() {
    return started;
  }

  boolean whole() {
    return whole;
  }

  long tokens() {
    return scanner.tokens();
  }

  /**
   * Delivers an answer.
   *
   * @param answer the answer as it arrives
   * @param id identity that the upstream was given
   * @param mayRepeat whether a faulty answer may be asked for again
   * @throws HttpCallException when the upstream fails before the end
   * @throws IOException when the caller is gone
   */
  void deliver(HttpStream answer, String id, boolean mayRepeat) throws IOException {
    rejectForeign(answer, id);
    if (answer.status() >= 500 && mayRepeat) {
      throw new HttpCallException(
          HttpCallException.Execution.MAYBE_RUN,
          HttpCallException.Reason.CUT,
          "status " + answer.status(),
          null);
    }
    long length = contentLength(answer);
    if (length >= 0 && length <= WHOLE_BODY_BYTES) {
      deliverWhole(answer);
    } else {
      deliverStream(answer, length);
    }
    whole = true;
  }

  /** An answer that names another request than this one belongs to somebody else. */
  private static void rejectForeign(HttpStream answer, String id) {
    boolean foreign =
        answer.headers().stream()
            .filter(h -> h.name().equalsIgnoreCase(UpstreamCall.REQUEST_ID))
            .anyMatch(h -> !h.value().equals(id));
    if (foreign) {
      throw new HttpCallException(
          HttpCallException.Execution.MAYBE_RUN,
          HttpCallException.Reason.CUT,
          "answer of another request",
          null);
    }
  }

  private void deliverWhole(HttpStream answer) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    byte[] chunk = new byte[CHUNK_BYTES];
    for (int n = answer.read(chunk); n >= 0; n = answer.read(chunk)) {
      body.write(chunk, 0, n);
      scanner.scan(chunk, n);
    }
    HttpServerExchange exchange = begin(answer);
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.size());
    OutputStream out = exchange.getOutputStream();
    body.writeTo(out);
    out.close();
  }

  private void deliverStream(HttpStream answer, long length) throws IOException {
    byte[] chunk = new byte[CHUNK_BYTES];
    int n = answer.read(chunk);
    HttpServerExchange exchange = begin(answer);
    if (length >= 0) {
      exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
    }
    OutputStream out = exchange.getOutputStream();
    for (; n >= 0; n = answer.read(chunk)) {
      if (call.refusal() != null) {
        throw new IOException("the key was withdrawn");
      }
      out.write(chunk, 0, n);
      out.flush();
      scanner.scan(chunk, n);
    }
    out.close();
  }

  private HttpServerExchange begin(HttpStream answer) throws IOException {
    if (call.refusal() != null) {
      throw new IOException("the key was withdrawn");
    }
    HttpServerExchange exchange = call.exchange();
    if (!exchange.isBlocking()) {
      exchange.startBlocking();
    }
    UpstreamCall.copyHead(exchange, answer.status(), answer.headers());
    started = true;
    return exchange;
  }

  private static long contentLength(HttpStream answer) {
    return answer.headers().stream()
        .filter(h -> h.name().equalsIgnoreCase("Content-Length"))
        .mapToLong(h -> Long.parseLong(h.value()))
        .findFirst()
        .orElse(-1);
  }
}
