package org.marigoldmill.cli.soak;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP/1.1 connection of a caller, which tells how and when the peer has ended it. */
final class CallerConnection implements AutoCloseable {
  /** How an exchange ended. */
  enum Ending {
    /** The whole answer has arrived. */
    WHOLE,
    /** The peer closed the connection before the end of the answer. */
    CLOSED,
    /** Nothing arrived for longer than any time budget. */
    SILENT
  }

  /** A request; its id is sent as {@code X-Attempt-Id}. */
  record Request(String method, String path, String id, String key, String body) {
    static Request get(String path, String id, String key) {
      return new Request("GET", path, id, key, "");
    }
  }

  /** What came back; the status is 0 if the connection ended before the head of the answer. */
  record Answer(
      Ending ending,
      int status,
      Map<String, String> headers,
      String body,
      long sentMs,
      long endedMs) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    boolean isWhole() {
      return ending == Ending.WHOLE;
    }

    boolean keepsConnection() {
      return isWhole() && !header("connection").equalsIgnoreCase("close");
    }
  }

  /** Time allowed for a new connection, in milliseconds. */
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** Longer than the timeout of every route, in milliseconds. */
  private static final int READ_TIMEOUT_MS = 8_000;

  private final SoakLog log;
  private final Socket socket = new Socket();
  private final InputStream in;

  CallerConnection(String address, SoakLog log) throws IOException {
    this.log = log;
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    socket.connect(new InetSocketAddress(address.substring(0, colon), port), CONNECT_TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request on a new connection and closes it. */
  static Answer call(String address, SoakLog log, Request request) throws IOException {
    try (CallerConnection connection = new CallerConnection(address, log)) {
      return connection.exchange(request);
    }
  }

  /** Returns whether the peer has closed the connection, or reset it, while it was idle. */
  boolean isClosedByPeer() {
    try {
      socket.setSoTimeout(1);
      in.mark(1);
      boolean closed = in.read() < 0;
      in.reset();
      return closed;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  Answer exchange(Request request) {
    Map<String, String> headers = new TreeMap<>();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int status = 0;
    long sentMs = log.now();
    Ending ending;
    try {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket.getOutputStream().write(encode(request));
      sentMs = log.now();
      String[] statusLine = readLine().split(" ", 3);
      status = Integer.parseInt(statusLine[1]);
      for (String line = readLine(); !line.isEmpty(); line = readLine()) {
        int colon = line.indexOf(':');
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
      readBody(headers, body);
      ending = Ending.WHOLE;
    } catch (SocketTimeoutException e) {
      ending = Ending.SILENT;
    } catch (IOException e) {
      ending = Ending.CLOSED;
    }
    return new Answer(ending, status, headers, body.toString(UTF_8), sentMs, log.now());
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private static byte[] encode(Request request) {
    byte[] body = request.body().getBytes(UTF_8);
    String head =
        String.join(
            "\r\n",
            request.method() + " " + request.path() + " HTTP/1.1",
            "Host: h",
            "Api-Key: " + request.key(),
            "X-Attempt-Id: " + request.id(),
            "Content-Length: " + body.length,
            "",
            "");
    return (head + request.body()).getBytes(UTF_8);
  }

  private void readBody(Map<String, String> headers, ByteArrayOutputStream body)
      throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      for (int size = chunkSize(); size > 0; size = chunkSize()) {
        readBytes(size, body);
        readLine();
      }
      readLine();
    } else if (headers.containsKey("content-length")) {
      readBytes(Integer.parseInt(headers.get("content-length")), body);
    } else {
      // The answer ends with the connection; a reset instead makes it incomplete.
      in.transferTo(body);
    }
  }

  private int chunkSize() throws IOException {
    return Integer.parseInt(readLine().trim(), 16);
  }

  private void readBytes(int count, ByteArrayOutputStream body) throws IOException {
    for (int i = 0; i < count; i++) {
      body.write(readByte());
    }
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = readByte(); b != '\n'; b = readByte()) {
      line.write(b);
    }
    return line.toString(ISO_8859_1).trim();
  }

  private int readByte() throws IOException {
    int b = in.read();
    if (b < 0) {
      throw new EOFException("connection closed by peer");
    }
    return b;
  }
}
