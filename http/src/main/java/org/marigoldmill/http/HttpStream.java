package org.marigoldmill.http;

import io.undertow.client.ClientExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/** An answer whose body is still arriving. */
public final class HttpStream implements AutoCloseable {
  /** A cancellation ends a read within this time, in milliseconds. */
  private static final long CANCEL_CHECK_MS = 50;

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  private final HttpClient client;
  private final HttpCall call;
  private final HttpClient.Pooled pooled;
  private final ClientExchange exchange;
  private final StreamSourceChannel channel;
  private final long deadline;
  private boolean whole;
  private boolean closed;

  HttpStream(
      HttpClient client,
      HttpCall call,
      HttpClient.Pooled pooled,
      ClientExchange exchange,
      long deadline) {
    this.client = client;
    this.call = call;
    this.pooled = pooled;
    this.exchange = exchange;
    this.channel = exchange.getResponseChannel();
    this.deadline = deadline;
  }

  /** Returns the HTTP status. */
  public int status() {
    return exchange.getResponse().getResponseCode();
  }

  /** Returns the headers in order. */
  public List<HttpCall.Header> headers() {
    return StreamSupport.stream(exchange.getResponse().getResponseHeaders().spliterator(), false)
        .flatMap(HttpStream::headersOf)
        .toList();
  }

  /**
   * Reads some of the body, waiting at most the progress timeout.
   *
   * @param into where the bytes go
   * @return number of bytes, or -1 at the end of a whole body
   * @throws HttpCallException when the body is cut short or silent
   */
  public int read(byte[] into) {
    if (whole) {
      return -1;
    }
    ByteBuffer buffer = ByteBuffer.wrap(into);
    long silentAt = HttpClient.nowMs() + call.progressTimeoutMs();
    try {
      int n = channel.read(buffer);
      while (n == 0 && !cut()) {
        long wait = Math.min(silentAt, deadline) - HttpClient.nowMs();
        if (wait <= 0) {
          client.silent(call.address(), pooled.connection());
          throw HttpClient.failure(HttpCallException.Reason.SILENT, call, null);
        }
        channel.awaitReadable(Math.min(wait, CANCEL_CHECK_MS), TimeUnit.MILLISECONDS);
        n = channel.read(buffer);
      }
      // A connection that this process closes reads like one that has ended.
      if (cut()) {
        throw HttpClient.failure(HttpCallException.Reason.CUT, call, null);
      }
      whole = n < 0;
      return n;
    } catch (IOException e) {
      IoUtils.safeClose(pooled.connection());
      throw HttpClient.failure(HttpCallException.Reason.CUT, call, e);
    }
  }

  /** Cuts the answer off from another thread; a read in progress fails. */
  public void cancel() {
    call.cancellation().cancel();
  }

  /** Returns the connection to the pool after a whole body, and closes it otherwise. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    call.cancellation().attach(() -> {});
    if (whole) {
      client.giveBack(call.address(), pooled, keepAliveMs());
    } else {
      IoUtils.safeClose(pooled.connection());
    }
  }

  private boolean cut() {
    return call.cancellation().isCancelled() || client.closed();
  }

  /** Returns how long the receiver keeps an idle connection, when it says so. */
  private OptionalLong keepAliveMs() {
    String told = exchange.getResponse().getResponseHeaders().getFirst(Headers.KEEP_ALIVE);
    Matcher matcher = TIMEOUT.matcher(told == null ? "" : told);
    return matcher.find()
        ? OptionalLong.of(1_000 * Long.parseLong(matcher.group(1)))
        : OptionalLong.empty();
  }

  private static Stream<HttpCall.Header> headersOf(HeaderValues values) {
    return values.stream().map(v -> new HttpCall.Header(values.getHeaderName().toString(), v));
  }
}
