package org.marigoldmill.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Opens a connection on a thread of a worker and checks what it receives.
 *
 * <p>Undertow's client opens a connection through the I/O thread that it is given and hands it to
 * its parser at once, so there is no other place below that parser. This object is never started as
 * a thread.
 */
final class FramedConnector extends XnioIoThread {
  private final ResponseFraming framing;

  FramedConnector(XnioWorker worker, ResponseFraming framing) {
    super(worker, 0);
    this.framing = framing;
  }

  @Override
  public IoFuture<StreamConnection> openStreamConnection(
      SocketAddress destination,
      ChannelListener<? super StreamConnection> openListener,
      OptionMap options) {
    return getWorker()
        .openStreamConnection(
            destination,
            connection -> {
              ConduitStreamSourceChannel source = connection.getSourceChannel();
              source.setConduit(new FramedSource(source.getConduit(), framing));
              openListener.handleEvent(connection);
            },
            options);
  }

  @Override
  public void execute(Runnable command) {
    getWorker().getIoThread().execute(command);
  }

  @Override
  public Key executeAfter(Runnable command, long time, TimeUnit unit) {
    return getWorker().getIoThread().executeAfter(command, time, unit);
  }

  @Override
  public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
    return getWorker().getIoThread().executeAtInterval(command, time, unit);
  }
}
