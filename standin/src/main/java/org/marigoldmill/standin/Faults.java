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

/** Injects faults into the responses of a fake server, as requested by {@code POST /fault}. */
final class Faults {
  private static final long SWAP_TIMEOUT_MS = 2_000;
  private static final HttpResponse OUTAGE = HttpResponse.text(503, "outage");

  private final Runnable crash;
  private final Exchanger<HttpResponse> answerExchanger = new Exchanger<>();
  private Fault fault = Fault.getDefaultInstance();
  private int remaining;

  Faults(Runnable crash) {
    this.crash = crash;
  }

  /** Adds the route {@code POST /fault}. */
  HttpServer installRoute(HttpServer server) {
    return server.post(
        "/fault",
        q -> {
          inject(ProtoJson.parse(q.body(), Fault.getDefaultInstance()));
          return HttpResponse.json(200, "{}");
        });
  }

  synchronized void inject(Fault ordered) {
    fault = ordered;
    remaining = ordered.getCount() == 0 ? Integer.MAX_VALUE : ordered.getCount();
  }

  /** Returns the fault to inject into a request, or {@code NONE}; counts the injection. */
  synchronized Fault nextFault(String path, byte[] body) {
    boolean hit =
        remaining > 0
            && path.startsWith(fault.getPath())
            && new String(body, StandardCharsets.UTF_8).contains(fault.getBodyContains());
    if (!hit) {
      return Fault.getDefaultInstance();
    }
    remaining--;
    return fault;
  }

  /** Returns a route that injects the requested fault into the given one. */
  RouteHandler wrap(RouteHandler route) {
    return q -> {
      Fault injected = nextFault(q.exchange().getRequestPath(), q.body());
      if (!applyBefore(injected, q.exchange())) {
        return injected.getKind() == FaultKind.OUTAGE ? OUTAGE : HttpResponse.text(500, "");
      }
      return applyAfter(injected, route.respond(q), q);
    };
  }

  /** Applies a fault before the request takes effect; returns whether to execute the request. */
  boolean applyBefore(Fault injected, HttpServerExchange exchange) {
    switch (injected.getKind()) {
      case DELAY -> sleepMs(injected.getDelayMs());
      case HANG -> {
        sleepMs(injected.getDelayMs() == 0 ? Long.MAX_VALUE : injected.getDelayMs());
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

  private HttpResponse applyAfter(Fault injected, HttpResponse answer, Request request)
      throws IOException {
    if (injected.getKind() == FaultKind.DROP_ANSWER) {
      IoUtils.safeClose(request.exchange().getConnection());
    }
    return injected.getKind() == FaultKind.CROSS ? swapAnswers(answer) : answer;
  }

  private HttpResponse swapAnswers(HttpResponse answer) {
    try {
      return answerExchanger.exchange(answer, SWAP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return answer;
    } catch (TimeoutException e) {
      return answer;
    }
  }

  static void sleepMs(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
