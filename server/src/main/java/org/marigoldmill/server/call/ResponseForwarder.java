package org.marigoldmill.server.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpStream;

/**
 * Forwards an upstream's response to the caller.
 *
 * <p>A short response is buffered before its first byte is forwarded, so that the call can be
 * retried if the connection is lost. A long one is streamed; if the connection is lost, the
 * caller's connection is closed without the end of the body, so that the caller sees that the
 * response is truncated.
 */
final class ResponseForwarder {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

  private final CallContext call;
  private final TokenCounter tokenCounter = new TokenCounter();
  private boolean started;
  private boolean complete;

  ResponseForwarder(CallContext call) {
    this.call = call;
  }

  boolean started() {
    return started;
  }

  boolean complete() {
    return complete;
  }

  long tokens() {
    return tokenCounter.tokens();
  }

  /**
   * Forwards a response.
   *
   * @param response response of the upstream, whose body has not been read
   * @param requestId value of {@code X-Request-Id} that the upstream was sent
   * @param retryable whether a response with a 5xx status is to be retried instead of forwarded
   * @throws HttpCallException if the upstream fails before the end of the response
   * @throws IOException if the caller has disconnected or its API key was withdrawn
   */
  void forward(HttpStream response, String requestId, boolean retryable) throws IOException {
    rejectMismatchedRequestId(response, requestId);
    if (response.status() >= 500 && retryable) {
      throw new HttpCallException(
          HttpCallException.Execution.MAYBE_RUN,
          HttpCallException.Reason.CUT,
          "upstream answered with status " + response.status(),
          null);
    }
    long length = contentLength(response);
    if (length >= 0 && length <= MAX_BUFFERED_BODY_BYTES) {
      forwardBuffered(response);
    } else {
      forwardStreamed(response, length);
    }
    complete = true;
  }

  /** A response with the id of another request could disclose another caller's data. */
  private static void rejectMismatchedRequestId(HttpStream response, String requestId) {
    boolean mismatched =
        response.headers().stream()
            .filter(h -> h.name().equalsIgnoreCase(UpstreamRequest.REQUEST_ID))
            .anyMatch(h -> !h.value().equals(requestId));
    if (mismatched) {
      throw new HttpCallException(
          HttpCallException.Execution.MAYBE_RUN,
          HttpCallException.Reason.CUT,
          "response carries the X-Request-Id of another request",
          null);
    }
  }

  private void forwardBuffered(HttpStream response) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    for (int n = response.read(buffer); n >= 0; n = response.read(buffer)) {
      body.write(buffer, 0, n);
      tokenCounter.count(buffer, n);
    }
    HttpServerExchange exchange = startResponse(response);
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.size());
    OutputStream out = exchange.getOutputStream();
    body.writeTo(out);
    out.close();
  }

  private void forwardStreamed(HttpStream response, long length) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    int n = response.read(buffer);
    HttpServerExchange exchange = startResponse(response);
    if (length >= 0) {
      exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
    } else if (n >= 0) {
      // Otherwise the end of a connection that is not kept would mark the end of the body.
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
    }
    OutputStream out = exchange.getOutputStream();
    for (; n >= 0; n = response.read(buffer)) {
      if (call.refusal() != null) {
        throw new IOException("API key of the caller withdrawn while the response was streamed");
      }
      out.write(buffer, 0, n);
      out.flush();
      tokenCounter.count(buffer, n);
    }
    out.close();
  }

  private HttpServerExchange startResponse(HttpStream response) throws IOException {
    if (call.refusal() != null) {
      throw new IOException("API key of the caller withdrawn before the response was started");
    }
    HttpServerExchange exchange = call.exchange();
    if (!exchange.isBlocking()) {
      exchange.startBlocking();
    }
    UpstreamRequest.copyResponseHead(exchange, response.status(), response.headers());
    started = true;
    return exchange;
  }

  private static long contentLength(HttpStream response) {
    return response.headers().stream()
        .filter(h -> h.name().equalsIgnoreCase("Content-Length"))
        .mapToLong(h -> Long.parseLong(h.value()))
        .findFirst()
        .orElse(-1);
  }
}
