package org.marigoldmill.server.call;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.marigoldmill.core.error.ErrorKind;

/** Response to a request that was refused or failed. */
public final class Refusal {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpString RUN_HEADER = new HttpString("Marigoldmill-Run");
  private static final HttpString RETRY_AFTER_HEADER = new HttpString("Retry-After");
  private static final long MS_PER_SECOND = 1_000;

  private record Body(
      String error, String message, String run, boolean retryable, long retryAfterMs) {}

  private Refusal() {}

  /**
   * Sends a refusal, unless a response has been started.
   *
   * @param exchange exchange of the request
   * @param kind kind of error, which determines status, code and summary
   * @param detail addition to the summary, without API keys; may be empty
   * @param retryAfterMs delay after which the caller may retry, in milliseconds; 0 if unknown
   */
  public static void send(
      HttpServerExchange exchange, ErrorKind kind, String detail, long retryAfterMs) {
    if (exchange.isResponseStarted()) {
      return;
    }
    exchange.setStatusCode(kind.status());
    exchange.getResponseHeaders().put(RUN_HEADER, kind.execution().label());
    exchange.getResponseHeaders().put(new HttpString("Content-Type"), "application/json");
    if (kind.retryable()) {
      long seconds = Math.max(1, (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND);
      exchange.getResponseHeaders().put(RETRY_AFTER_HEADER, Long.toString(seconds));
    }
    String message = detail.isEmpty() ? kind.summary() : kind.summary() + ": " + detail;
    Body body =
        new Body(kind.code(), message, kind.execution().label(), kind.retryable(), retryAfterMs);
    exchange.getResponseSender().send(json(body));
  }

  private static String json(Body body) {
    try {
      return JSON.writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialise the body of a refusal", e);
    }
  }
}
