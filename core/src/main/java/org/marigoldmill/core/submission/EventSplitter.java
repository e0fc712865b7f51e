package org.marigoldmill.core.submission;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Splits the bytes of an event stream into whole events without changing them. */
public final class EventSplitter {
  private final ByteArrayOutputStream event = new ByteArrayOutputStream();
  private int lineBytes;

  /**
   * A whole event as it arrived.
   *
   * @param bytes its lines with the empty line that ends it
   * @param id its id, if it has one
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record RawEvent(byte[] bytes, OptionalLong id) {}

  /** Creates a splitter at the start of an event. */
  public EventSplitter() {}

  /**
   * Takes in more bytes.
   *
   * @param bytes where they are
   * @param length how many
   * @return the events that are whole now
   */
  public List<RawEvent> read(byte[] bytes, int length) {
    List<RawEvent> whole = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      event.write(bytes[i]);
      if (bytes[i] != '\n') {
        lineBytes += bytes[i] == '\r' ? 0 : 1;
        continue;
      }
      if (lineBytes == 0) {
        whole.add(new RawEvent(event.toByteArray(), id(event.toString(UTF_8))));
        event.reset();
      }
      lineBytes = 0;
    }
    return whole;
  }

  /** Returns whether bytes of an unfinished event have arrived. */
  public boolean hasPartialEvent() {
    return event.size() > 0;
  }

  private static OptionalLong id(String text) {
    return text.lines()
        .filter(l -> l.startsWith("id:"))
        .map(l -> l.substring(3).trim())
        .filter(v -> v.matches("\\d{1,18}"))
        .mapToLong(Long::parseLong)
        .findFirst();
  }
}
