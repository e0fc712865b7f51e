package org.marigoldmill.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a request body without blocking its I/O thread.
 *
 * <p>A write error completes the future of the response head exceptionally.
 */
final class BodyWriter implements ChannelListener<StreamSinkChannel> {
  private final ByteBuffer body;
  private final CompletableFuture<?> responseHead;
  private boolean writesShutDown;

  BodyWriter(byte[] body, CompletableFuture<?> responseHead) {
    this.body = ByteBuffer.wrap(body);
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
        return;
      }
      channel.getWriteSetter().set(this);
      channel.resumeWrites();
    } catch (IOException e) {
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
