package org.marigoldmill.server.call;

import io.opentelemetry.api.trace.Span;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.atomic.AtomicReference;
import org.marigoldmill.core.admission.Ticket;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.schema.declaration.Service;
import org.xnio.IoUtils;

/** State of a call while this process serves it. */
public final class CallContext {
  private final HttpServerExchange exchange;
  private final Service service;
  private final String organisation;
  private final String keyHash;
  private final String path;
  private final long arrivedAtMs;
  private final Span span;
  private final AtomicReference<ErrorKind> refusal = new AtomicReference<>();
  private byte[] body = new byte[0];
  private Ticket ticket;
  private long retryAfterMs;
  private Runnable command = () -> {};
  private long tokens;
  private long startedAtMs;

  CallContext(
      HttpServerExchange exchange,
      Service service,
      String organisation,
      String keyHash,
      String path,
      long arrivedAtMs,
      Span span) {
    this.exchange = exchange;
    this.service = service;
    this.organisation = organisation;
    this.keyHash = keyHash;
    this.path = path;
    this.arrivedAtMs = arrivedAtMs;
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

  long arrivedAtMs() {
    return arrivedAtMs;
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

  /** Marks the call as refused; a delay of 0 ms says that the time to retry is unknown. */
  void refuse(ErrorKind kind, long delayMs) {
    retryAfterMs = delayMs;
    refusal.set(kind);
  }

  ErrorKind refusal() {
    return refusal.get();
  }

  /** Returns the command that runs the call on a worker thread, or sends its refusal. */
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

  long startedAtMs() {
    return startedAtMs;
  }

  void startedAtMs(long nowMs) {
    startedAtMs = nowMs;
  }

  long deadlineMs() {
    return arrivedAtMs + service.getTimeoutMs();
  }

  /** Closes the caller's connection because the API key of the call was withdrawn. */
  void abort() {
    refusal.set(ErrorKind.KEY_UNKNOWN);
    IoUtils.safeClose(exchange.getConnection());
  }
}
