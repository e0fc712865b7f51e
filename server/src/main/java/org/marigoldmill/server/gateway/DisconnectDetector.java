package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.marigoldmill.http.Cancellation;
import org.marigoldmill.server.Clock;

/**
 * Detects callers that close their connection while their request is in progress, and cancels it.
 *
 * <p>The server does not read from a connection whose request is in progress. The detector reads
 * from it to find its end, and pushes back any bytes that belong to the next request.
 */
final class DisconnectDetector {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Most requests end before this delay and are never checked. */
  private static final long FIRST_CHECK_DELAY_MS = 120;

  private record WatchedRequest(Cancellation cancellation, long sinceMs) {}

  private final Map<HttpServerExchange, WatchedRequest> watched = new ConcurrentHashMap<>();
  private final Clock clock;

  DisconnectDetector(Clock clock) {
    this.clock = clock;
  }

  /** Watches the caller of a request; returns the cancellation that a disconnect triggers. */
  Cancellation watch(HttpServerExchange exchange) {
    Cancellation cancellation = new Cancellation();
    watched.put(exchange, new WatchedRequest(cancellation, clock.now()));
    return cancellation;
  }

  /** Stops watching; to be called before the response is sent. */
  void unwatch(HttpServerExchange exchange) {
    watched.remove(exchange);
  }

  /** Checks the callers of requests that take long; to be called periodically. */
  void checkCallers() {
    long now = clock.now();
    watched.forEach(
        (exchange, request) -> {
          if (now - request.sinceMs() >= FIRST_CHECK_DELAY_MS
              && !request.cancellation().isCancelled()) {
            exchange.getIoThread().execute(() -> check(exchange, request.cancellation()));
          }
        });
  }

  private void check(HttpServerExchange exchange, Cancellation cancellation) {
    if (!watched.containsKey(exchange)) {
      return;
    }
    Optional<String> cause = disconnectCause(exchange);
    cause.ifPresent(
        c -> {
          logger.atInfo().log(
              "caller disconnected, cancelling request path=%s cause=%s watched=%s",
              exchange.getRequestPath(), c, watched.containsKey(exchange));
          cancellation.cancel();
        });
  }

  /** Returns how the caller's connection has ended, or empty if it has not. */
  private static Optional<String> disconnectCause(HttpServerExchange exchange) {
    if (!exchange.getConnection().isOpen()) {
      return Optional.of("connection closed");
    }
    if (!(exchange.getConnection() instanceof HttpServerConnection connection)
        || connection.getExtraBytes() != null) {
      return Optional.empty();
    }
    PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
    boolean pushedBack = false;
    try {
      int read = connection.getOriginalSourceConduit().read(pooled.getBuffer());
      if (read > 0) {
        pooled.getBuffer().flip();
        connection.ungetRequestBytes(pooled);
        pushedBack = true;
      }
      return read < 0 ? Optional.of("end of input") : Optional.empty();
    } catch (IOException e) {
      return Optional.of(e.toString());
    } finally {
      if (!pushedBack) {
        pooled.close();
      }
    }
  }
}
