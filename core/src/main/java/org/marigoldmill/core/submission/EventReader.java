package org.marigoldmill.core.submission;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream ({@code text/event-stream}) into events.
 *
 * <p>An event counts once its empty line has arrived; a cut one is left out.
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
   * @param versionField name of the line that tells a change of version, in lower case
   */
  public EventReader(String versionField) {
    this.versionField = versionField;
  }

  /**
   * Takes in more bytes.
   *
   * @param bytes where they are
   * @param length how many
   * @return the events that are whole now
   * @throws IllegalArgumentException when a number is malformed
   */
  public List<GeneratedEvent> read(byte[] bytes, int length) {
    List<GeneratedEvent> events = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      if (bytes[i] == '\n') {
        endLine(events);
      } else {
        line.write(bytes[i]);
      }
    }
    return events;
  }

  /** Returns whether bytes of an unfinished event have arrived. */
  public boolean hasPartialEvent() {
    return line.size() > 0 || hasData || id.isPresent();
  }

  private void endLine(List<GeneratedEvent> events) {
    String text = line.toString(UTF_8);
    line.reset();
    if (text.endsWith("\r")) {
      text = text.substring(0, text.length() - 1);
    }
    if (!text.isEmpty()) {
      field(text);
      return;
    }
    if (id.isPresent() && hasData) {
      events.add(new GeneratedEvent(id.getAsLong(), data.toString(), version));
    }
    id = OptionalLong.empty();
    version = OptionalLong.empty();
    data = new StringBuilder();
    hasData = false;
  }

  private void field(String text) {
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
