import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server and client on sockets, for the stand-ins of the review. */
final class Http {
  private static final int MAX_HEAD_BYTES = 64 * 1024;

  private Http() {}

  /**
   * A message whose body has been read.
   *
   * @param start request line or status line
   * @param headers headers by name in lower case
   */
  record Message(String start, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String method() {
      return start.split(" ")[0];
    }

    String target() {
      return start.split(" ")[1];
    }

    String path() {
      return target().split("\\?")[0];
    }

    String query(String name) {
      String[] parts = target().split("\\?", 2);
      for (String pair : parts.length < 2 ? new String[0] : parts[1].split("&")) {
        if (pair.startsWith(name + "=")) {
          return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
      return "";
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** A connection with its buffered input. */
  static final class Connection implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      this.in = new BufferedInputStream(socket.getInputStream());
      this.out = socket.getOutputStream();
    }

    static Connection open(String address, int timeoutMs) throws IOException {
      int colon = address.lastIndexOf(':');
      Socket socket = new Socket();
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          timeoutMs);
      socket.setSoTimeout(timeoutMs);
      return new Connection(socket);
    }

    /** Reads a message; returns null if the connection ends before it begins. */
    Message read() throws IOException {
      String start = line();
      if (start == null) {
        return null;
      }
      Map<String, String> headers = new LinkedHashMap<>();
      for (String line = line(); line != null && !line.isEmpty(); line = line()) {
        int colon = line.indexOf(':');
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
      boolean response = start.startsWith("HTTP/");
      return new Message(start, headers, body(headers, response));
    }

    private byte[] body(Map<String, String> headers, boolean response) throws IOException {
      if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = chunkSize(); size > 0; size = chunkSize()) {
          body.writeBytes(bytes(size));
          line();
        }
        line();
        return body.toByteArray();
      }
      String length = headers.get("content-length");
      if (length != null) {
        return bytes(Integer.parseInt(length));
      }
      return response ? in.readAllBytes() : new byte[0];
    }

    private int chunkSize() throws IOException {
      String line = line();
      if (line == null) {
        throw new EOFException("ended inside a chunked body");
      }
      return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    byte[] bytes(int count) throws IOException {
      byte[] read = in.readNBytes(count);
      if (read.length < count) {
        throw new EOFException("ended after " + read.length + " of " + count + " bytes");
      }
      return read;
    }

    /** Reads a line without its end; returns null at the end of the input. */
    String line() throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int b = in.read(); b != '\n'; b = in.read()) {
        if (b < 0) {
          if (line.size() > 0) {
            throw new EOFException("ended inside a line");
          }
          return null;
        }
        if (line.size() > MAX_HEAD_BYTES) {
          throw new IOException("line too long");
        }
        line.write(b);
      }
      String text = line.toString(StandardCharsets.ISO_8859_1);
      return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    /** Writes a response with a length. */
    void respond(int status, String headers, byte[] body) throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(
          ("HTTP/1.1 "
                  + status
                  + " S\r\n"
                  + headers
                  + "Content-Length: "
                  + body.length
                  + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      all.writeBytes(body);
      write(all.toByteArray());
    }

    /** Resets the connection. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Answers one request of a connection. */
  interface Handler {
    void handle(Message request, Connection connection) throws Exception;
  }

  /** Starts a server with a thread for each connection; returns its socket. */
  static ServerSocket serve(String name, Handler handler) throws IOException {
    ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    start(name + "-accept", () -> accept(server, name, handler));
    return server;
  }

  static String addressOf(ServerSocket server) {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private static void accept(ServerSocket server, String name, Handler handler) {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        start(name, () -> converse(socket, handler));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void converse(Socket socket, Handler handler) {
    try (Connection connection = new Connection(socket)) {
      for (Message request = connection.read(); request != null; request = connection.read()) {
        handler.handle(request, connection);
        if (socket.isClosed()) {
          return;
        }
      }
    } catch (Exception e) {
      // The peer has closed the connection.
    }
  }

  static Thread start(String name, Runnable action) {
    Thread thread = new Thread(action, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Makes a request on a new connection; returns null unless a whole response arrives. */
  static Message call(
      String address, String method, String target, String headers, byte[] body, int timeoutMs) {
    try (Connection connection = Connection.open(address, timeoutMs)) {
      connection.write(
          method
              + " "
              + target
              + " HTTP/1.1\r\n"
              + headers
              + "Content-Length: "
              + body.length
              + "\r\n\r\n");
      connection.write(body);
      return connection.read();
    } catch (IOException e) {
      return null;
    }
  }

  static void pause(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
