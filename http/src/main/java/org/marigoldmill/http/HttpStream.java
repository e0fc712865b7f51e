package org.marigoldmill.http;

import io.undertow.client.ClientExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/** A response whose head has arrived and whose body is read as it arrives. */
public final class HttpStream implements AutoCloseable {
  /** Interval at which a blocked read checks for cancellation. */
  private static final long CANCELLATION_POLL_MS = 50;

  private static final Pattern EVENT_STREAM_TYPE =
      Pattern.compile("text/event-stream(?![\\w.+-])", Pattern.CASE_INSENSITIVE);

  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  private final HttpClient client;
  private final HttpCall call;
  private final HttpClient.PooledConnection pooled;
  private final ClientExchange exchange;
  private final StreamSourceChannel channel;
  private final CompletableFuture<Void> sent;
  private final long deadlineMs;
  private boolean complete;
  private boolean closed;
  private volatile boolean disconnected;

  /**
   * Creates the stream of a response.
   *
   * @param sent completed when the whole request has been written
   */
  HttpStream(
      HttpClient client,
      HttpCall call,
      HttpClient.PooledConnection pooled,
      ClientExchange exchange,
      CompletableFuture<Void> sent,
      long deadlineMs) {
    this.client = client;
    this.call = call;
    this.pooled = pooled;
    this.exchange = exchange;
    this.channel = exchange.getResponseChannel();
    this.sent = sent;
    this.deadlineMs = deadlineMs;
  }

  /** Returns the HTTP status code. */
  public int status() {
    return exchange.getResponse().getResponseCode();
  }

  /** Returns the headers in order. */
  public List<HttpCall.Header> headers() {
    return StreamSupport.stream(exchange.getResponse().getResponseHeaders().spliterator(), false)
        .flatMap(HttpStream::headersOf)
        .toList();
  }

  /** Returns whether the body may be an event stream: its type says so, or is not given. */
  public boolean mayBeEventStream() {
    String type = exchange.getResponse().getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
    return type == null || EVENT_STREAM_TYPE.matcher(type).lookingAt();
  }

  /**
   * Reads part of the body, blocking for at most the progress timeout.
   *
   * @param destination buffer to fill from its start
   * @return number of bytes read, or -1 at the end of a complete body
   * @throws HttpCallException when the connection is lost, the call is aborted or a timeout expires
   */
  public int read(byte[] destination) {
    if (complete) {
      return -1;
    }
    ByteBuffer buffer = ByteBuffer.wrap(destination);
    long stalledAtMs = HttpClient.nowMs() + call.progressTimeoutMs();
    try {
      int count = channel.read(buffer);
      while (count == 0 && !aborted()) {
        long waitMs = Math.min(stalledAtMs, deadlineMs) - HttpClient.nowMs();
        if (waitMs <= 0) {
          throw unresponsive();
        }
        channel.awaitReadable(Math.min(waitMs, CANCELLATION_POLL_MS), TimeUnit.MILLISECONDS);
        count = channel.read(buffer);
      }
      // After this process has closed the connection, a read may return -1 as for a complete body.
      if (aborted()) {
        throw HttpClient.failure(HttpCallException.Reason.CUT, call, null);
      }
      if (count < 0 && pooled.framing().endsWithConnection()) {
        awaitSent(stalledAtMs);
      }
      complete = count < 0;
      client.observer().bytesReceived();
      return count;
    } catch (IOException e) {
      IoUtils.safeClose(pooled.connection());
      throw HttpClient.failure(call, e);
    }
  }

  /** Aborts the response from another thread; a read in progress fails. */
  public void cancel() {
    call.cancellation().cancel();
  }

  /** Closes the connection from another thread; a read in progress fails. */
  void disconnect() {
    disconnected = true;
    IoUtils.safeClose(pooled.connection());
  }

  /** Returns the connection to the pool after a complete body, and closes it otherwise. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    client.observer().callEnded();
    call.cancellation().onCancel(() -> {});
    if (complete) {
      client.release(call.address(), pooled, keepAliveMs());
    } else {
      IoUtils.safeClose(pooled.connection());
    }
  }

  /**
   * Waits until the request has been written.
   *
   * <p>The operating system reports the reset of a connection once. If it reports it to a write, a
   * read finds the end of the connection, as if the receiver had ended the response.
   *
   * @throws IOException if a write has failed
   */
  private void awaitSent(long stalledAtMs) throws IOException {
    while (!aborted()) {
      long waitMs = Math.min(stalledAtMs, deadlineMs) - HttpClient.nowMs();
      try {
        sent.get(Math.max(1, Math.min(waitMs, CANCELLATION_POLL_MS)), TimeUnit.MILLISECONDS);
        return;
      } catch (TimeoutException e) {
        if (waitMs <= 0) {
          throw unresponsive();
        }
      } catch (ExecutionException e) {
        throw new IOException("connection lost while the request was written", e.getCause());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new InterruptedIOException("interrupted while the request was written");
      }
    }
    throw HttpClient.failure(HttpCallException.Reason.CUT, call, null);
  }

  private HttpCallException unresponsive() {
    client.closeUnresponsive(call.address(), pooled.connection());
    return HttpClient.failure(HttpCallException.Reason.SILENT, call, null);
  }

  private boolean aborted() {
    return disconnected || call.cancellation().isCancelled() || client.isClosed();
  }

  /** Returns the timeout of the Keep-Alive header, if the receiver sent one. */
  private OptionalLong keepAliveMs() {
    String header = exchange.getResponse().getResponseHeaders().getFirst(Headers.KEEP_ALIVE);
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(header == null ? "" : header);
    return matcher.find()
        ? OptionalLong.of(1_000 * Long.parseLong(matcher.group(1)))
        : OptionalLong.empty();
  }

  private static Stream<HttpCall.Header> headersOf(HeaderValues values) {
    return values.stream().map(v -> new HttpCall.Header(values.getHeaderName().toString(), v));
  }
}
