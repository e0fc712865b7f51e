package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.marigoldmill.http.Cancellation;
import org.marigoldmill.server.Clock;

/**
 * Notices callers that close their connection while their request is carried.
 *
 * <p>The server does not read from a connection whose request is in progress. So this looks whether
 * the connection has ended, and puts back what else it finds there.
 */
final class CallerWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Most requests end sooner and are not looked at. */
  private static final long FIRST_LOOK_MS = 120;

  private record Watched(Cancellation cancellation, long since) {}

  private final Map<HttpServerExchange, Watched> watched = new ConcurrentHashMap<>();
  private final Clock clock;

  CallerWatch(Clock clock) {
    this.clock = clock;
  }

  /** Watches the caller of a request until it is answered. */
  Cancellation watch(HttpServerExchange exchange) {
    Cancellation cancellation = new Cancellation();
    watched.put(exchange, new Watched(cancellation, clock.now()));
    return cancellation;
  }

  /** Stops watching, before the answer is sent. */
  void release(HttpServerExchange exchange) {
    watched.remove(exchange);
  }

  /** Looks at the callers of requests that take long; one round of a duty. */
  void runRound() {
    long now = clock.now();
    watched.forEach(
        (exchange, entry) -> {
          if (now - entry.since() >= FIRST_LOOK_MS && !entry.cancellation().isCancelled()) {
            exchange.getIoThread().execute(() -> look(exchange, entry.cancellation()));
          }
        });
  }

  private void look(HttpServerExchange exchange, Cancellation cancellation) {
    if (!watched.containsKey(exchange)) {
      return;
    }
    if (!exchange.getConnection().isOpen() || ended(exchange)) {
      logger.atInfo().log("caller has left path=%s", exchange.getRequestPath());
      cancellation.cancel();
    }
  }

  private static boolean ended(HttpServerExchange exchange) {
    if (!(exchange.getConnection() instanceof HttpServerConnection connection)
        || connection.getExtraBytes() != null) {
      return false;
    }
    PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
    boolean kept = false;
    try {
      int read = connection.getOriginalSourceConduit().read(pooled.getBuffer());
      if (read > 0) {
        pooled.getBuffer().flip();
        connection.ungetRequestBytes(pooled);
        kept = true;
      }
      return read < 0;
    } catch (IOException e) {
      logger.atFine().log("caller's connection failed: %s", e.getMessage());
      return true;
    } finally {
      if (!kept) {
        pooled.close();
      }
    }
  }
}
