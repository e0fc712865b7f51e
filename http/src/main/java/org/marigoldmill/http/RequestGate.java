package org.marigoldmill.http;

import io.undertow.server.HttpHandler;

/**
 * Counts the requests inside a server, and refuses further ones once it is shut.
 *
 * <p>A request is counted before anything else is decided about it, and until its response is
 * complete. So whoever shuts the gate first and then waits until it is empty misses no request.
 *
 * <pre>{@code
 * gate.shut();
 * if (gate.awaitEmpty(timeoutMs)) {
 *   closeConnections();
 * }
 * }</pre>
 */
public final class RequestGate {
  private int inside;
  private boolean shut;

  /**
   * Counts a request; {@link #leave} must follow, whatever the result.
   *
   * @return whether the request may be handled; otherwise it must be refused
   */
  public synchronized boolean enter() {
    inside++;
    return !shut;
  }

  /** Ends the count of a request whose response is complete. */
  public synchronized void leave() {
    inside--;
    notifyAll();
  }

  /** Returns the number of requests inside, including those that are being refused. */
  public synchronized int inside() {
    return inside;
  }

  /** Lets no further request be handled. */
  public synchronized void shut() {
    shut = true;
  }

  /** Shuts the gate if no request is inside; returns whether the gate is shut. */
  public synchronized boolean shutIfEmpty() {
    shut |= inside == 0;
    return shut;
  }

  /**
   * Waits until no request is inside.
   *
   * @param timeoutMs longest wait in milliseconds; none if negative
   * @return whether no request is inside
   */
  public synchronized boolean awaitEmpty(long timeoutMs) {
    long untilMs = HttpClient.nowMs() + timeoutMs;
    try {
      for (long leftMs = timeoutMs;
          inside > 0 && leftMs > 0;
          leftMs = untilMs - HttpClient.nowMs()) {
        wait(leftMs);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return inside == 0;
  }

  /**
   * Returns a handler that passes each request through this gate.
   *
   * @param admitted handles requests until the gate is shut
   * @param refused answers requests after that, without handling them
   */
  public HttpHandler guard(HttpHandler admitted, HttpHandler refused) {
    return exchange -> {
      boolean admit = enter();
      exchange.addExchangeCompleteListener(
          (done, next) -> {
            leave();
            next.proceed();
          });
      (admit ? admitted : refused).handleRequest(exchange);
    };
  }
}
