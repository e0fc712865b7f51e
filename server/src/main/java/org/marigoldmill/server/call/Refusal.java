package org.marigoldmill.server.call;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.marigoldmill.core.error.ErrorKind;

/** The answer to a call that was refused or failed. */
public final class Refusal {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpString RUN = new HttpString("Marigoldmill-Run");
  private static final HttpString RETRY_AFTER = new HttpString("Retry-After");
  private static final long MS_PER_SECOND = 1_000;

  private record Body(
      String error, String message, String run, boolean retryable, long retryAfterMs) {}

  private Refusal() {}

  /**
   * Sends a refusal.
   *
   * @param exchange the call
   * @param kind entry of the closed list
   * @param detail what happened, without key material
   * @param retryAfterMs when to come back in milliseconds, 0 for no advice
   */
  public static void send(
      HttpServerExchange exchange, ErrorKind kind, String detail, long retryAfterMs) {
    if (exchange.isResponseStarted()) {
      return;
    }
    exchange.setStatusCode(kind.status());
    exchange.getResponseHeaders().put(RUN, kind.execution().label());
    exchange.getResponseHeaders().put(new HttpString("Content-Type"), "application/json");
    if (kind.retryable()) {
      long seconds = Math.max(1, (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND);
      exchange.getResponseHeaders().put(RETRY_AFTER, Long.toString(seconds));
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
      throw new IllegalStateException("a record of plain values is always JSON", e);
    }
  }
}
