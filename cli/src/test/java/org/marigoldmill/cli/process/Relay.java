package org.marigoldmill.cli.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP relay between two processes whose connections a test can delay, reset or silence. */
public final class Relay implements AutoCloseable {
  private static final int CHUNK_BYTES = 16 * 1024;

  private enum State {
    OPEN,
    CUT
  }

  private record Connection(Socket from, Socket to) {}

  private final ServerSocket server;
  private final String target;
  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private final List<Socket> silenced = new CopyOnWriteArrayList<>();
  private volatile State state = State.OPEN;
  private volatile boolean answersDropped;
  private volatile long delayMs;

  public Relay(String target) {
    this.target = target;
    try {
      this.server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    startDaemon(this::acceptAll);
  }

  /** Returns the address on which the relay accepts connections. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Closes all connections, and every new connection as soon as it is accepted. */
  public void cut() {
    state = State.CUT;
    connections.forEach(this::close);
  }

  /** Forwards new connections again; silenced connections stay silent. */
  public void heal() {
    state = State.OPEN;
  }

  /** Discards all later data on the connections open now; new connections work. */
  public void silenceOpenConnections() {
    connections.forEach(
        l -> {
          silenced.add(l.from());
          silenced.add(l.to());
        });
  }

  /** Resets all connections; new connections work. */
  public void resetOpenConnections() {
    connections.forEach(
        c -> {
          reset(c.from());
          reset(c.to());
        });
  }

  /** Delays each chunk of data in both directions. */
  public void delay(long millis) {
    delayMs = millis;
  }

  /** Discards data from the target, or forwards it on connections that have lost none. */
  public void dropAnswers(boolean dropped) {
    answersDropped = dropped;
  }

  @Override
  public void close() {
    cut();
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        accept(server.accept());
      } catch (IOException e) {
        return;
      }
    }
  }

  private void accept(Socket from) throws IOException {
    if (state == State.CUT) {
      from.close();
      return;
    }
    int colon = target.lastIndexOf(':');
    try {
      Socket to =
          new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
      from.setTcpNoDelay(true);
      to.setTcpNoDelay(true);
      Connection link = new Connection(from, to);
      connections.add(link);
      startDaemon(() -> copy(link, from, to));
      startDaemon(() -> copy(link, to, from));
    } catch (IOException e) {
      from.close();
    }
  }

  private void copy(Connection link, Socket source, Socket sink) {
    byte[] chunk = new byte[CHUNK_BYTES];
    try {
      InputStream in = source.getInputStream();
      OutputStream out = sink.getOutputStream();
      for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
        Thread.sleep(delayMs);
        if (answersDropped && source == link.to()) {
          silenced.add(source);
        }
        if (!silenced.contains(source)) {
          out.write(chunk, 0, n);
          out.flush();
        }
      }
      if (!silenced.contains(source)) {
        close(link);
      }
    } catch (IOException e) {
      close(link);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void close(Connection link) {
    connections.remove(link);
    try {
      link.from().close();
      link.to().close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void reset(Socket socket) {
    try (socket) {
      socket.setSoLinger(true, 0);
    } catch (SocketException e) {
      // One of the peers has closed the connection meanwhile.
      return;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void startDaemon(Runnable work) {
    Thread thread = new Thread(work, "relay");
    thread.setDaemon(true);
    thread.start();
  }
}
