package org.marigoldmill.standin;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Exchanger;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpServer.Request;
import org.marigoldmill.http.HttpServer.RouteHandler;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.standin.Fault;
import org.marigoldmill.schema.standin.FaultKind;
import org.xnio.IoUtils;

/** Faults that a test orders by {@code POST /fault}. */
final class Faults {
  private static final long CROSS_WAIT_MS = 2_000;
  private static final HttpResponse OUTAGE = HttpResponse.text(503, "outage");

  private final Runnable crash;
  private final Exchanger<HttpResponse> crossing = new Exchanger<>();
  private Fault fault = Fault.getDefaultInstance();
  private int left;

  Faults(Runnable crash) {
    this.crash = crash;
  }

  /** Adds the route that takes orders. */
  HttpServer install(HttpServer server) {
    return server.post(
        "/fault",
        q -> {
          order(ProtoJson.parse(q.body(), Fault.getDefaultInstance()));
          return HttpResponse.json(200, "{}");
        });
  }

  synchronized void order(Fault ordered) {
    fault = ordered;
    left = ordered.getCount() == 0 ? Integer.MAX_VALUE : ordered.getCount();
  }

  /** Returns the fault that a request meets, and counts it. */
  synchronized Fault meet(String path, byte[] body) {
    boolean hit =
        left > 0
            && path.startsWith(fault.getPath())
            && new String(body, StandardCharsets.UTF_8).contains(fault.getBodyContains());
    if (!hit) {
      return Fault.getDefaultInstance();
    }
    left--;
    return fault;
  }

  /** Returns a route that meets faults. */
  RouteHandler wrap(RouteHandler route) {
    return q -> {
      Fault met = meet(q.exchange().getRequestPath(), q.body());
      if (!before(met, q.exchange())) {
        return met.getKind() == FaultKind.OUTAGE ? OUTAGE : HttpResponse.text(500, "");
      }
      return after(met, route.respond(q), q);
    };
  }

  /** Has the part of a fault that comes before the effect; returns whether to go on. */
  boolean before(Fault met, HttpServerExchange exchange) {
    switch (met.getKind()) {
      case DELAY -> pause(met.getDelayMs());
      case HANG -> {
        pause(met.getDelayMs() == 0 ? Long.MAX_VALUE : met.getDelayMs());
        IoUtils.safeClose(exchange.getConnection());
        return false;
      }
      case CRASH -> {
        crash.run();
        IoUtils.safeClose(exchange.getConnection());
        return false;
      }
      case OUTAGE -> {
        return false;
      }
      default -> {
        return true;
      }
    }
    return true;
  }

  private HttpResponse after(Fault met, HttpResponse answer, Request question) throws IOException {
    if (met.getKind() == FaultKind.DROP_ANSWER) {
      IoUtils.safeClose(question.exchange().getConnection());
    }
    return met.getKind() == FaultKind.CROSS ? cross(answer) : answer;
  }

  private HttpResponse cross(HttpResponse answer) {
    try {
      return crossing.exchange(answer, CROSS_WAIT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return answer;
    } catch (TimeoutException e) {
      return answer;
    }
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
