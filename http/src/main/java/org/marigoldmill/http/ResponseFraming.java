package org.marigoldmill.http;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Follows the bytes of the responses on one connection, and rejects those that are no valid
 * response.
 *
 * <p>The parser of Undertow's client accepts heads and chunks that leave open where a body ends, so
 * that a part of a body, or bytes that do not belong to it, would pass for the whole. This class
 * sees each byte before that parser does, so that its rules hold for whoever reads a response.
 */
final class ResponseFraming {
  private static final int MAX_HEAD_BYTES = 64 * 1024;
  private static final int MAX_FIELDS = 256;
  private static final int MAX_CHUNK_LINE_BYTES = 4 * 1024;
  private static final int MIN_STATUS = 100;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /** Index of the first digit of the status in its line. */
  private static final int STATUS_INDEX = "HTTP/1.1 ".length();

  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.\\d (\\d{3}) (.*)", Pattern.DOTALL);

  private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");
  private static final Pattern CHUNK_LINE =
      Pattern.compile("([0-9A-Fa-f]{1,15})[ \\t]*(;.*)?", Pattern.DOTALL);

  private enum Part {
    /** No response is expected, or it is complete. */
    NONE,
    STATUS_LINE,
    FIELDS,
    BODY,
    BODY_UNTIL_CLOSED,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS
  }

  private final StringBuilder line = new StringBuilder();
  private Part part = Part.NONE;
  private String method = "";
  private int status;
  private OptionalLong length = OptionalLong.empty();
  private boolean chunked;
  private long headBytes;
  private int fields;
  private long bytesLeft;
  private boolean excess;

  /** Expects the response to a request that is about to be sent. */
  synchronized void expectResponseTo(String requestMethod) {
    method = requestMethod;
    headBytes = 0;
    fields = 0;
    startHead();
  }

  /** Returns whether only the end of the connection marks the end of the body. */
  synchronized boolean endsWithConnection() {
    return part == Part.BODY_UNTIL_CLOSED;
  }

  /** Returns whether bytes have arrived that belong to no response. */
  synchronized boolean hasExcess() {
    return excess;
  }

  /**
   * Follows received bytes, and writes 100 over the status of interim responses: the only one that
   * Undertow's parser does not take for the status of the final response.
   *
   * @throws MalformedResponseException if they are no part of a valid response
   */
  synchronized void accept(ByteBuffer bytes) throws MalformedResponseException {
    while (bytes.hasRemaining()) {
      switch (part) {
        case NONE -> {
          excess = true;
          return;
        }
        case BODY_UNTIL_CLOSED -> {
          return;
        }
        case BODY, CHUNK -> skip(bytes);
        default -> readLine(bytes);
      }
    }
  }

  private void startHead() {
    part = Part.STATUS_LINE;
    length = OptionalLong.empty();
    chunked = false;
  }

  private void skip(ByteBuffer bytes) {
    int count = (int) Math.min(bytesLeft, bytes.remaining());
    bytes.position(bytes.position() + count);
    bytesLeft -= count;
    if (bytesLeft == 0) {
      part = part == Part.CHUNK ? Part.CHUNK_END : Part.NONE;
    }
  }

  private void readLine(ByteBuffer bytes) throws MalformedResponseException {
    while (bytes.hasRemaining()) {
      char next = (char) (bytes.get() & 0xff);
      line.append(next);
      if (isEndOfInterimStatus()) {
        bytes.put(bytes.position() - 1, (byte) '0');
      }
      requireAcceptedSize();
      if (next == '\n') {
        String text = withoutLineEnd(line.toString());
        line.setLength(0);
        acceptLine(text);
        return;
      }
    }
  }

  /** Returns whether the last byte is the second or third digit of a status that begins with 1. */
  private boolean isEndOfInterimStatus() {
    int index = line.length() - 1 - STATUS_INDEX;
    return part == Part.STATUS_LINE
        && (index == 1 || index == 2)
        && line.charAt(STATUS_INDEX) == '1'
        && line.charAt(line.length() - 1) >= '0'
        && line.charAt(line.length() - 1) <= '9';
  }

  private void requireAcceptedSize() throws MalformedResponseException {
    if (part == Part.CHUNK_SIZE || part == Part.CHUNK_END) {
      if (line.length() > MAX_CHUNK_LINE_BYTES) {
        throw MalformedResponseException.shouldNotExceed("line of a chunk", MAX_CHUNK_LINE_BYTES);
      }
      return;
    }
    headBytes++;
    if (headBytes > MAX_HEAD_BYTES) {
      throw MalformedResponseException.shouldNotExceed("head", MAX_HEAD_BYTES);
    }
  }

  private static String withoutLineEnd(String text) throws MalformedResponseException {
    int end = text.length() - 2;
    if (end < 0 || text.indexOf('\r') != end) {
      throw MalformedResponseException.shouldBe("line", "an end of CR LF", text);
    }
    return text.substring(0, end);
  }

  private void acceptLine(String text) throws MalformedResponseException {
    switch (part) {
      case STATUS_LINE -> acceptStatusLine(text);
      case FIELDS -> {
        if (text.isEmpty()) {
          endHead();
        } else {
          acceptField(text);
        }
      }
      case CHUNK_SIZE -> acceptChunkSize(text);
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw MalformedResponseException.shouldBe("end of a chunk", "an empty line", text);
        }
        part = Part.CHUNK_SIZE;
      }
      case TRAILERS -> {
        if (text.isEmpty()) {
          part = Part.NONE;
        } else {
          requireName(text);
        }
      }
      default -> throw new IllegalStateException("no line expected in " + part);
    }
  }

  private void acceptStatusLine(String text) throws MalformedResponseException {
    Matcher matcher = STATUS_LINE.matcher(text);
    if (!matcher.matches() || !HttpSyntax.isFieldValue(matcher.group(2))) {
      throw MalformedResponseException.shouldBe("first line", "a status line of HTTP/1.x", text);
    }
    status = Integer.parseInt(matcher.group(1));
    requireStatus();
    part = Part.FIELDS;
  }

  /** No request asks for another protocol. */
  private void requireStatus() throws MalformedResponseException {
    if (status < MIN_STATUS || status > MAX_STATUS || status == SWITCHING_PROTOCOLS) {
      throw MalformedResponseException.shouldBe(
          "status", "from 100 to 599 and not 101", Integer.toString(status));
    }
  }

  /** A line that continues the one before it, which HTTP has abolished, has no name either. */
  private String requireName(String field) throws MalformedResponseException {
    fields++;
    if (fields > MAX_FIELDS) {
      throw MalformedResponseException.shouldNotHaveMoreFieldsThan(MAX_FIELDS);
    }
    String name = field.substring(0, Math.max(0, field.indexOf(':')));
    if (!HttpSyntax.isToken(name)) {
      throw MalformedResponseException.shouldBe("line of the head", "a field with a name", field);
    }
    return name;
  }

  private void acceptField(String field) throws MalformedResponseException {
    String name = requireName(field);
    String value = field.substring(name.length() + 1).strip();
    if (!HttpSyntax.isFieldValue(value)) {
      throw MalformedResponseException.shouldBe("field " + name, "a value of one line", value);
    }
    boolean givesLength = name.equalsIgnoreCase("Content-Length");
    if (!givesLength && !name.equalsIgnoreCase("Transfer-Encoding")) {
      return;
    }
    if (chunked || length.isPresent()) {
      throw MalformedResponseException.shouldHaveOneLength(field);
    }
    if (givesLength) {
      acceptLength(value);
    } else {
      acceptEncoding(value);
    }
  }

  private void acceptLength(String value) throws MalformedResponseException {
    if (!LENGTH.matcher(value).matches()) {
      throw MalformedResponseException.shouldBe("length of the body", "a whole number", value);
    }
    length = OptionalLong.of(Long.parseLong(value));
  }

  private void acceptEncoding(String value) throws MalformedResponseException {
    if (!value.equalsIgnoreCase("chunked")) {
      throw MalformedResponseException.shouldBe("transfer encoding", "chunked", value);
    }
    chunked = true;
  }

  private void endHead() throws MalformedResponseException {
    if (status < MIN_FINAL_STATUS) {
      startHead();
      return;
    }
    boolean bodiless = status == NO_CONTENT || status == NOT_MODIFIED;
    if (bodiless && (chunked || length.orElse(0) > 0)) {
      throw MalformedResponseException.shouldBe(
          "response with status " + status, "no body", "a length");
    }
    bytesLeft = length.orElse(0);
    if (bodiless || method.equals("HEAD")) {
      part = Part.NONE;
    } else if (chunked) {
      part = Part.CHUNK_SIZE;
    } else if (length.isEmpty()) {
      part = Part.BODY_UNTIL_CLOSED;
    } else {
      part = bytesLeft == 0 ? Part.NONE : Part.BODY;
    }
  }

  private void acceptChunkSize(String text) throws MalformedResponseException {
    Matcher matcher = CHUNK_LINE.matcher(text);
    if (!matcher.matches()) {
      throw MalformedResponseException.shouldBe("size of a chunk", "a hexadecimal number", text);
    }
    bytesLeft = Long.parseLong(matcher.group(1), 16);
    part = bytesLeft == 0 ? Part.TRAILERS : Part.CHUNK;
  }
}
