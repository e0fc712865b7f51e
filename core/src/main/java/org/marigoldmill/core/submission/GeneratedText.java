package org.marigoldmill.core.submission;

import java.util.List;
import java.util.OptionalLong;
import java.util.TreeSet;

/** The text generated for an item so far, across all of its runs. */
public final class GeneratedText {
  private final StringBuilder text = new StringBuilder();
  private final TreeSet<Long> versions = new TreeSet<>();
  private OptionalLong lastEventId = OptionalLong.empty();
  private long version;

  /** Creates an empty text. */
  public GeneratedText() {}

  /** Sets the version of the weights that a new run starts with; the text is continued. */
  public void startRun(long initialVersion) {
    version = initialVersion;
  }

  /**
   * Appends an event.
   *
   * @throws IllegalArgumentException if its id does not directly follow the last event's
   */
  public void append(GeneratedEvent event) {
    if (lastEventId.isPresent() && event.id() != lastEventId.getAsLong() + 1) {
      throw new IllegalArgumentException(
          "event id: expected " + (lastEventId.getAsLong() + 1) + " but was " + event.id());
    }
    if (lastEventId.isPresent()) {
      text.append('\n');
    }
    version = event.version().orElse(version);
    versions.add(version);
    text.append(event.data());
    lastEventId = OptionalLong.of(event.id());
  }

  /** Discards the text and its versions, so that generation restarts from the beginning. */
  public void restart() {
    text.setLength(0);
    versions.clear();
    lastEventId = OptionalLong.empty();
  }

  /** Returns the id of the last event, or empty if there is none. */
  public OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Returns the versions of the weights that generated the text, oldest first. */
  public List<Long> versions() {
    return List.copyOf(versions);
  }

  /** Returns the text, with the events' data joined by line feeds. */
  public String text() {
    return text.toString();
  }
}
