package org.marigoldmill.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * One request to another process.
 *
 * @param address receiver
 * @param method HTTP method
 * @param path path and query
 * @param headers headers besides Host and Content-Length
 * @param body body, empty for none
 * @param connectTimeoutMs longest time to connect
 * @param progressTimeoutMs longest silence of the receiver
 * @param deadlineMs longest duration of the whole call
 * @param freshConnection whether the call needs a connection of its own
 * @param gate runs on a connected call immediately before its bytes leave; throws to stop it
 * @param cancellation cuts the call from another thread
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpCall(
    InetSocketAddress address,
    String method,
    String path,
    List<Header> headers,
    byte[] body,
    long connectTimeoutMs,
    long progressTimeoutMs,
    long deadlineMs,
    boolean freshConnection,
    Runnable gate,
    Cancellation cancellation) {
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long DEFAULT_TIMEOUT_MS = 5_000;

  /** A header with its value. */
  public record Header(String name, String value) {
    /** Returns the first value of a header among others. */
    public static Optional<String> first(List<Header> headers, String name) {
      return headers.stream()
          .filter(h -> h.name().equalsIgnoreCase(name))
          .map(Header::value)
          .findFirst();
    }
  }

  /** Starts a GET with default timeouts. */
  public static HttpCall get(String address, String path) {
    return call(address, "GET", path, new byte[0]);
  }

  /** Starts a POST with default timeouts. */
  public static HttpCall post(String address, String path, byte[] body) {
    return call(address, "POST", path, body);
  }

  private static HttpCall call(String address, String method, String path, byte[] body) {
    return new HttpCall(
        Addresses.parse(address),
        method,
        path,
        List.of(),
        body,
        CONNECT_TIMEOUT_MS,
        DEFAULT_TIMEOUT_MS,
        DEFAULT_TIMEOUT_MS,
        false,
        HttpCall::pass,
        new Cancellation());
  }

  /** Returns the call with other timeouts, in milliseconds. */
  public HttpCall timeouts(long connectMs, long progressMs, long wholeMs) {
    return new HttpCall(
        address,
        method,
        path,
        headers,
        body,
        connectMs,
        progressMs,
        wholeMs,
        freshConnection,
        gate,
        cancellation);
  }

  /** Returns the call with other headers. */
  public HttpCall headers(List<Header> replaced) {
    return new HttpCall(
        address,
        method,
        path,
        replaced,
        body,
        connectTimeoutMs,
        progressTimeoutMs,
        deadlineMs,
        freshConnection,
        gate,
        cancellation);
  }

  /** Returns the call on a connection of its own. */
  public HttpCall onFreshConnection() {
    return freshConnection(true);
  }

  /** Returns the call on a connection of its own, or on a kept one. */
  public HttpCall freshConnection(boolean own) {
    return new HttpCall(
        address,
        method,
        path,
        headers,
        body,
        connectTimeoutMs,
        progressTimeoutMs,
        deadlineMs,
        own,
        gate,
        cancellation);
  }

  /** Returns the call with a check immediately before its bytes leave. */
  public HttpCall gate(Runnable check) {
    return new HttpCall(
        address,
        method,
        path,
        headers,
        body,
        connectTimeoutMs,
        progressTimeoutMs,
        deadlineMs,
        freshConnection,
        check,
        cancellation);
  }

  /** Returns the call with what cuts it from another thread. */
  public HttpCall cancellation(Cancellation other) {
    return new HttpCall(
        address,
        method,
        path,
        headers,
        body,
        connectTimeoutMs,
        progressTimeoutMs,
        deadlineMs,
        freshConnection,
        gate,
        other);
  }

  /** Returns the call with another method. */
  public HttpCall method(String other) {
    return new HttpCall(
        address,
        other,
        path,
        headers,
        body,
        connectTimeoutMs,
        progressTimeoutMs,
        deadlineMs,
        freshConnection,
        gate,
        cancellation);
  }

  private static void pass() {}
}
