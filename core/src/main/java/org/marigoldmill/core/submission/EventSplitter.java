package org.marigoldmill.core.submission;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Splits the bytes of an event stream into complete events, byte for byte as received. */
public final class EventSplitter {
  /** Largest event that is held in memory. */
  public static final int MAX_EVENT_BYTES = 1024 * 1024;

  private final ByteArrayOutputStream event = new ByteArrayOutputStream();
  private int lineBytes;

  /**
   * A complete event as received.
   *
   * @param bytes bytes of its lines, including the empty line that ends it
   * @param id its id, or empty if it has none or the id is not a number of at most 18 digits
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record RawEvent(byte[] bytes, OptionalLong id) {
    /** Returns whether all of its lines are comments. */
    public boolean isComment() {
      return new String(bytes, UTF_8).lines().allMatch(l -> l.isEmpty() || l.startsWith(":"));
    }
  }

  /** Creates a splitter at the start of an event. */
  public EventSplitter() {}

  /**
   * Parses the next bytes of the stream.
   *
   * @param bytes buffer that holds the bytes, from index 0
   * @param length number of bytes to read from the buffer
   * @return the events completed by these bytes, in stream order
   * @throws IllegalArgumentException if an event is larger than accepted
   */
  public List<RawEvent> read(byte[] bytes, int length) {
    List<RawEvent> events = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      if (event.size() >= MAX_EVENT_BYTES) {
        throw new IllegalArgumentException(
            "event: expected at most " + MAX_EVENT_BYTES + " bytes but got more");
      }
      event.write(bytes[i]);
      if (bytes[i] != '\n') {
        lineBytes += bytes[i] == '\r' ? 0 : 1;
        continue;
      }
      if (lineBytes == 0) {
        events.add(new RawEvent(event.toByteArray(), parseId(event.toString(UTF_8))));
        event.reset();
      }
      lineBytes = 0;
    }
    return events;
  }

  /** Returns whether part of an incomplete event has been read. */
  public boolean hasPartialEvent() {
    return event.size() > 0;
  }

  private static OptionalLong parseId(String text) {
    return text.lines()
        .filter(l -> l.startsWith("id:"))
        .map(l -> l.substring(3).trim())
        .filter(v -> v.matches("\\d{1,18}"))
        .mapToLong(Long::parseLong)
        .findFirst();
  }
}
