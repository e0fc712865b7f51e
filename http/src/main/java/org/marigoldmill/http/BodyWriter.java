package org.marigoldmill.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/** Writes a request body without blocking its I/O thread. */
final class BodyWriter implements ChannelListener<StreamSinkChannel> {
  private final ByteBuffer body;
  private final CompletableFuture<?> outcome;
  private boolean ended;

  BodyWriter(byte[] body, CompletableFuture<?> outcome) {
    this.body = ByteBuffer.wrap(body);
    this.outcome = outcome;
  }

  void start(StreamSinkChannel channel) {
    handleEvent(channel);
  }

  @Override
  public void handleEvent(StreamSinkChannel channel) {
    try {
      if (finish(channel)) {
        channel.suspendWrites();
        channel.getWriteSetter().set(null);
        return;
      }
      channel.getWriteSetter().set(this);
      channel.resumeWrites();
    } catch (IOException e) {
      outcome.completeExceptionally(e);
    }
  }

  private boolean finish(StreamSinkChannel channel) throws IOException {
    while (body.hasRemaining()) {
      if (channel.write(body) == 0) {
        return false;
      }
    }
    if (!ended) {
      channel.shutdownWrites();
      ended = true;
    }
    return channel.flush();
  }
}
