package org.marigoldmill.cli.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP relay between two processes whose connections a test can delay, reset or silence. */
public final class Relay implements AutoCloseable {
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final int BACKLOG = 64;
  private static final int QUEUE_FILLERS = 4;
  private static final long QUEUE_FILL_MS = 30;
  private static final int BIND_TRIES = 100;
  private static final long BIND_PAUSE_MS = 10;

  private enum State {
    OPEN,
    CUT
  }

  private record Connection(Socket from, Socket to) {}

  private final int port;
  private final String target;
  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private final List<Socket> silenced = new CopyOnWriteArrayList<>();
  private final List<Socket> fillers = new CopyOnWriteArrayList<>();
  private volatile ServerSocket server;
  private volatile State state = State.OPEN;
  private volatile boolean answersDropped;
  private volatile long delayMs;

  public Relay(String target) {
    this.target = target;
    this.server = bind(0, BACKLOG);
    this.port = server.getLocalPort();
    startDaemon(() -> acceptAll(server));
  }

  /** Returns the address on which the relay accepts connections. */
  public String address() {
    return "127.0.0.1:" + port;
  }

  /** Closes all connections, and every new connection as soon as it is accepted. */
  public void cut() {
    state = State.CUT;
    connections.forEach(this::close);
  }

  /** Forwards new connections again; silenced connections stay silent. */
  public synchronized void heal() {
    state = State.OPEN;
    if (server.isClosed() || !fillers.isEmpty()) {
      stopListening();
      ServerSocket next = bind(port, BACKLOG);
      server = next;
      startDaemon(() -> acceptAll(next));
    }
  }

  /** Refuses new connections, as a port without a listener does; open ones live on. */
  public synchronized void refuseNewConnections() {
    stopListening();
  }

  /** Lets new connections hang before they are established; open ones live on. */
  public synchronized void hangNewConnections() {
    stopListening();
    server = bind(port, 1);
    // The kernel drops what does not fit into the queue of connections that nobody accepts.
    for (int i = 0; i < QUEUE_FILLERS; i++) {
      Socket filler = new Socket();
      fillers.add(filler);
      startDaemon(() -> connect(filler));
    }
    ProcessCluster.pause(QUEUE_FILL_MS);
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
  public synchronized void close() {
    cut();
    stopListening();
  }

  /** A port is free again only once the thread that accepted there has left. */
  private static ServerSocket bind(int port, int backlog) {
    for (int triesLeft = BIND_TRIES; ; triesLeft--) {
      try {
        return new ServerSocket(port, backlog, InetAddress.getLoopbackAddress());
      } catch (IOException e) {
        if (triesLeft == 0) {
          throw new UncheckedIOException(e);
        }
        ProcessCluster.pause(BIND_PAUSE_MS);
      }
    }
  }

  private void connect(Socket filler) {
    try {
      filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    } catch (IOException e) {
      // Closed by heal.
      return;
    }
  }

  private void stopListening() {
    try {
      server.close();
      for (Socket filler : fillers) {
        filler.close();
      }
      fillers.clear();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void acceptAll(ServerSocket listening) {
    while (!listening.isClosed()) {
      try {
        accept(listening.accept());
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
