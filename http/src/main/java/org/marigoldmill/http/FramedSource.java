package org.marigoldmill.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/** Passes on the bytes that a connection receives, unless {@link ResponseFraming} rejects them. */
final class FramedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
  private final ResponseFraming framing;

  FramedSource(StreamSourceConduit next, ResponseFraming framing) {
    super(next);
    this.framing = framing;
  }

  @Override
  public int read(ByteBuffer destination) throws IOException {
    ByteBuffer received = destination.duplicate();
    int count = next.read(destination);
    if (count > 0) {
      framing.accept(received.limit(received.position() + count));
    }
    return count;
  }

  /** Reads into the first buffer with space; a read need not fill all of them. */
  @Override
  public long read(ByteBuffer[] destinations, int offset, int length) throws IOException {
    for (int i = offset; i < offset + length; i++) {
      if (destinations[i].hasRemaining()) {
        return read(destinations[i]);
      }
    }
    return 0;
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
  }

  @Override
  public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
      throws IOException {
    return Conduits.transfer(this, count, throughBuffer, target);
  }
}
