package org.marigoldmill.server.call;

import io.opentelemetry.api.trace.Span;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.atomic.AtomicReference;
import org.marigoldmill.core.admission.Ticket;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.schema.declaration.Service;
import org.xnio.IoUtils;

/** One call on its way through this process. */
public final class CallContext {
  private final HttpServerExchange exchange;
  private final Service service;
  private final String organisation;
  private final String keyHash;
  private final String path;
  private final long arrivedAt;
  private final Span span;
  private final AtomicReference<ErrorKind> refusal = new AtomicReference<>();
  private byte[] body = new byte[0];
  private Ticket ticket;
  private long retryAfterMs;
  private Runnable command = () -> {};
  private long tokens;
  private long startedAt;

  CallContext(
      HttpServerExchange exchange,
      Service service,
      String organisation,
      String keyHash,
      String path,
      long arrivedAt,
      Span span) {
    this.exchange = exchange;
    this.service = service;
    this.organisation = organisation;
    this.keyHash = keyHash;
    this.path = path;
    this.arrivedAt = arrivedAt;
    this.span = span;
  }

  HttpServerExchange exchange() {
    return exchange;
  }

  Service service() {
    return service;
  }

  String organisation() {
    return organisation;
  }

  String keyHash() {
    return keyHash;
  }

  String path() {
    return path;
  }

  long arrivedAt() {
    return arrivedAt;
  }

  Span span() {
    return span;
  }

  byte[] body() {
    return body;
  }

  void body(byte[] received) {
    body = received;
  }

  Ticket ticket() {
    return ticket;
  }

  void ticket(Ticket offered) {
    ticket = offered;
  }

  long retryAfterMs() {
    return retryAfterMs;
  }

  /** Marks the call as refused before it ran. */
  void refuse(ErrorKind kind, long retryAfter) {
    retryAfterMs = retryAfter;
    refusal.set(kind);
  }

  ErrorKind refusal() {
    return refusal.get();
  }

  Runnable command() {
    return command;
  }

  void command(Runnable queued) {
    command = queued;
  }

  long tokens() {
    return tokens;
  }

  void addTokens(long count) {
    tokens += count;
  }

  long startedAt() {
    return startedAt;
  }

  void startedAt(long now) {
    startedAt = now;
  }

  long deadline() {
    return arrivedAt + service.getTimeoutMs();
  }

  /** Cuts the call because its key no longer works. */
  void cut() {
    refusal.set(ErrorKind.KEY_UNKNOWN);
    IoUtils.safeClose(exchange.getConnection());
  }
}
