package org.marigoldmill.core.submission;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

/**
 * Incremental parser of an event stream ({@code text/event-stream}).
 *
 * <p>An event is returned once the empty line that ends it has been read; a truncated event at the
 * end of the stream is dropped.
 */
public final class EventReader {
  private final String versionField;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private StringBuilder data = new StringBuilder();
  private OptionalLong id = OptionalLong.empty();
  private OptionalLong version = OptionalLong.empty();
  private boolean hasData;

  /**
   * Creates a reader.
   *
   * @param versionField name of the field that announces a change of the weights' version, in lower
   *     case
   */
  public EventReader(String versionField) {
    this.versionField = versionField;
  }

  /**
   * Parses the next bytes of the stream.
   *
   * @param bytes buffer that holds the bytes, from index 0
   * @param length number of bytes to read from the buffer
   * @return the events completed by these bytes, in stream order
   * @throws IllegalArgumentException if an event id or a version is not a decimal number, or an
   *     event has no id or is larger than accepted
   */
  public List<GeneratedEvent> read(byte[] bytes, int length) {
    List<GeneratedEvent> events = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      if (line.size() + data.length() >= EventSplitter.MAX_EVENT_BYTES) {
        throw new IllegalArgumentException(
            "event: expected at most " + EventSplitter.MAX_EVENT_BYTES + " bytes but got more");
      }
      if (bytes[i] == '\n') {
        parseLine(events);
      } else {
        line.write(bytes[i]);
      }
    }
    return events;
  }

  /** Returns whether part of an incomplete event has been read. */
  public boolean hasPartialEvent() {
    return line.size() > 0 || hasData || id.isPresent();
  }

  private void parseLine(List<GeneratedEvent> events) {
    String text = line.toString(UTF_8);
    line.reset();
    if (text.endsWith("\r")) {
      text = text.substring(0, text.length() - 1);
    }
    if (!text.isEmpty()) {
      parseField(text);
      return;
    }
    if (hasData && id.isEmpty()) {
      throw new IllegalArgumentException("event: expected an id but got none");
    }
    if (hasData) {
      events.add(new GeneratedEvent(id.getAsLong(), data.toString(), version));
    }
    id = OptionalLong.empty();
    version = OptionalLong.empty();
    data = new StringBuilder();
    hasData = false;
  }

  private void parseField(String text) {
    int colon = text.indexOf(':');
    String name = colon < 0 ? text : text.substring(0, colon);
    String value = colon < 0 ? "" : text.substring(colon + 1);
    if (value.startsWith(" ")) {
      value = value.substring(1);
    }
    if (name.equals("id")) {
      id = OptionalLong.of(Long.parseLong(value.trim()));
    } else if (name.equals("data")) {
      if (hasData) {
        data.append('\n');
      }
      data.append(value);
      hasData = true;
    } else if (name.toLowerCase(Locale.ROOT).equals(versionField)) {
      version = OptionalLong.of(Long.parseLong(value.trim()));
    }
  }
}
