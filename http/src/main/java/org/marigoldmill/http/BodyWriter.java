package org.marigoldmill.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a request body without blocking its I/O thread.
 *
 * <p>A write error completes the futures of the request and of the response head exceptionally.
 */
final class BodyWriter implements ChannelListener<StreamSinkChannel> {
  private final ByteBuffer body;
  private final CompletableFuture<Void> sent;
  private final CompletableFuture<?> responseHead;
  private boolean writesShutDown;

  /**
   * Creates a writer.
   *
   * @param sent completed when the whole body has been written
   */
  BodyWriter(byte[] body, CompletableFuture<Void> sent, CompletableFuture<?> responseHead) {
    this.body = ByteBuffer.wrap(body);
    this.sent = sent;
    this.responseHead = responseHead;
  }

  void start(StreamSinkChannel channel) {
    handleEvent(channel);
  }

  @Override
  public void handleEvent(StreamSinkChannel channel) {
    try {
      if (writeRemaining(channel)) {
        channel.suspendWrites();
        channel.getWriteSetter().set(null);
        sent.complete(null);
        return;
      }
      channel.getWriteSetter().set(this);
      channel.resumeWrites();
    } catch (IOException e) {
      channel.suspendWrites();
      sent.completeExceptionally(e);
      responseHead.completeExceptionally(e);
    }
  }

  /** Returns whether the whole body has been written and flushed. */
  private boolean writeRemaining(StreamSinkChannel channel) throws IOException {
    while (body.hasRemaining()) {
      if (channel.write(body) == 0) {
        return false;
      }
    }
    if (!writesShutDown) {
      channel.shutdownWrites();
      writesShutDown = true;
    }
    return channel.flush();
  }
}
