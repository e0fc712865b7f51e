package org.marigoldmill.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * An HTTP request with its timeouts and connection options.
 *
 * @param address address of the receiver
 * @param method HTTP method
 * @param path path and query
 * @param headers headers; the client adds Host when absent, and sets Content-Length
 * @param body body, empty for none
 * @param connectTimeoutMs longest time to establish a connection, in milliseconds
 * @param progressTimeoutMs longest time without a byte from the receiver, in milliseconds
 * @param totalTimeoutMs longest duration of the whole call, in milliseconds
 * @param freshConnection whether to open a new connection instead of reusing an idle one
 * @param gate runs once connected, immediately before the request is sent; may throw to stop it
 * @param cancellation aborts the call from another thread
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
    long totalTimeoutMs,
    boolean freshConnection,
    Runnable gate,
    Cancellation cancellation) {
  private static final long DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
  private static final long DEFAULT_TIMEOUT_MS = 5_000;

  /** A header field with one value. */
  public record Header(String name, String value) {
    /** Returns the first value of a header, compared without regard to case. */
    public static Optional<String> first(List<Header> headers, String name) {
      return headers.stream()
          .filter(h -> h.name().equalsIgnoreCase(name))
          .map(Header::value)
          .findFirst();
    }
  }

  /** Creates a GET request with default timeouts. */
  public static HttpCall get(String address, String path) {
    return create(address, "GET", path, new byte[0]);
  }

  /** Creates a POST request with default timeouts. */
  public static HttpCall post(String address, String path, byte[] body) {
    return create(address, "POST", path, body);
  }

  private static HttpCall create(String address, String method, String path, byte[] body) {
    return new HttpCall(
        Addresses.parse(address),
        method,
        path,
        List.of(),
        body,
        DEFAULT_CONNECT_TIMEOUT_MS,
        DEFAULT_TIMEOUT_MS,
        DEFAULT_TIMEOUT_MS,
        false,
        HttpCall::noGate,
        new Cancellation());
  }

  /** Returns a copy with these timeouts, in milliseconds. */
  public HttpCall timeouts(
      long newConnectTimeoutMs, long newProgressTimeoutMs, long newTotalTimeoutMs) {
    return new HttpCall(
        address,
        method,
        path,
        headers,
        body,
        newConnectTimeoutMs,
        newProgressTimeoutMs,
        newTotalTimeoutMs,
        freshConnection,
        gate,
        cancellation);
  }

  /** Returns a copy with these headers in place of all previous ones. */
  public HttpCall headers(List<Header> newHeaders) {
    return new HttpCall(
        address,
        method,
        path,
        newHeaders,
        body,
        connectTimeoutMs,
        progressTimeoutMs,
        totalTimeoutMs,
        freshConnection,
        gate,
        cancellation);
  }

  /** Returns a copy that opens a new connection. */
  public HttpCall onFreshConnection() {
    return freshConnection(true);
  }

  /** Returns a copy that opens a new connection, or one that may reuse an idle connection. */
  public HttpCall freshConnection(boolean required) {
    return new HttpCall(
        address,
        method,
        path,
        headers,
        body,
        connectTimeoutMs,
        progressTimeoutMs,
        totalTimeoutMs,
        required,
        gate,
        cancellation);
  }

  /** Returns a copy whose gate runs immediately before sending, and stops it if it throws. */
  public HttpCall gate(Runnable newGate) {
    return new HttpCall(
        address,
        method,
        path,
        headers,
        body,
        connectTimeoutMs,
        progressTimeoutMs,
        totalTimeoutMs,
        freshConnection,
        newGate,
        cancellation);
  }

  /** Returns a copy that can be aborted through a cancellation. */
  public HttpCall cancellation(Cancellation newCancellation) {
    return new HttpCall(
        address,
        method,
        path,
        headers,
        body,
        connectTimeoutMs,
        progressTimeoutMs,
        totalTimeoutMs,
        freshConnection,
        gate,
        newCancellation);
  }

  /** Returns a copy with this method. */
  public HttpCall method(String newMethod) {
    return new HttpCall(
        address,
        newMethod,
        path,
        headers,
        body,
        connectTimeoutMs,
        progressTimeoutMs,
        totalTimeoutMs,
        freshConnection,
        gate,
        cancellation);
  }

  private static void noGate() {}
}
