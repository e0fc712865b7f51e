package org.marigoldmill.standin;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Fake receiver of HTTP requests whose answers may be any bytes, one on each connection.
 *
 * <pre>{@code
 * RawStandin upstream = RawStandin.start(request -> request.write("HTTP/1.1 000 OK\r\n\r\n"));
 * }</pre>
 */
public final class RawStandin implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Little, so that a sender waits for this stand-in to read. */
  private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

  private static final int BACKLOG = 128;

  /** Answers a request on its connection, which is closed afterwards. */
  @FunctionalInterface
  public interface Answer {
    /** Writes the answer; an {@link IOException} ends the connection. */
    void write(Request request) throws IOException, InterruptedException;
  }

  /**
   * A request whose body has not been read.
   *
   * @param socket its connection
   * @param head request line and headers
   */
  public record Request(Socket socket, String head) {
    /** Returns the path and the query. */
    public String path() {
      return head.split(" ", 3)[1];
    }

    /** Returns the first value of a header. */
    public Optional<String> header(String name) {
      Matcher line =
          Pattern.compile("(?i)\r\n" + Pattern.quote(name) + ": *([^\r]*)").matcher(head);
      return line.find() ? Optional.of(line.group(1)) : Optional.empty();
    }

    /** Reads the body, so that closing the connection does not reset it. */
    public void skipBody() throws IOException {
      socket.getInputStream().skipNBytes(header("Content-Length").map(Long::parseLong).orElse(0L));
    }

    /** Sends text, one byte a character. */
    public void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Makes the close that follows reset the connection. */
    public void resetOnClose() throws IOException {
      socket.setSoLinger(true, 0);
    }
  }

  private final ServerSocket server = new ServerSocket();
  private final Answer answer;
  private final Queue<String> paths = new ConcurrentLinkedQueue<>();

  private RawStandin(Answer answer) throws IOException {
    this.answer = answer;
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
  }

  /** Starts a stand-in on a free port. */
  public static RawStandin start(Answer answer) {
    try {
      RawStandin standin = new RawStandin(answer);
      startDaemon(standin::acceptAll);
      return standin;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the address as {@code ip:port}. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Returns the paths of the requests that have arrived, in order. */
  public List<String> paths() {
    return List.copyOf(paths);
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        startDaemon(() -> serve(socket));
      } catch (IOException e) {
        logger.atFine().withCause(e).log("stand-in accepts no connection");
      }
    }
  }

  private void serve(Socket accepted) {
    try (Socket socket = accepted) {
      String head = readHead(socket.getInputStream());
      if (!head.isEmpty()) {
        Request request = new Request(socket, head);
        paths.add(request.path());
        answer.write(request);
      }
    } catch (IOException e) {
      logger.atFine().withCause(e).log("sender has closed its connection");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the head of a request, or an empty string if the connection ends before it does. */
  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int next = in.read(); next >= 0; next = in.read()) {
      head.append((char) next);
      if (next == '\n' && head.indexOf("\r\n\r\n") >= 0) {
        return head.toString();
      }
    }
    return "";
  }

  private static void startDaemon(Runnable work) {
    Thread thread = new Thread(work, "raw-standin");
    thread.setDaemon(true);
    thread.start();
  }
}
