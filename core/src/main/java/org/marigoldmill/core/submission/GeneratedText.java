package org.marigoldmill.core.submission;

import java.util.List;
import java.util.OptionalLong;
import java.util.TreeSet;

/** The text of an item as far as it has been generated, over all of its runs. */
public final class GeneratedText {
  private final StringBuilder text = new StringBuilder();
  private final TreeSet<Long> versions = new TreeSet<>();
  private OptionalLong lastEventId = OptionalLong.empty();
  private long version;

  /** Creates an empty text. */
  public GeneratedText() {}

  /** Starts a run under a version; the next event continues the text. */
  public void startRun(long runVersion) {
    version = runVersion;
  }

  /**
   * Appends an event.
   *
   * @throws IllegalArgumentException when it doesn't follow the last event
   */
  public void append(GeneratedEvent event) {
    if (lastEventId.isPresent() && event.id() != lastEventId.getAsLong() + 1) {
      throw new IllegalArgumentException(
          "event: expected " + (lastEventId.getAsLong() + 1) + " but was " + event.id());
    }
    if (lastEventId.isPresent()) {
      text.append('\n');
    }
    version = event.version().orElse(version);
    versions.add(version);
    text.append(event.data());
    lastEventId = OptionalLong.of(event.id());
  }

  /** Forgets everything, so that the item starts anew. */
  public void restart() {
    text.setLength(0);
    versions.clear();
    lastEventId = OptionalLong.empty();
  }

  /** Returns the id of the last event, or empty before the first. */
  public OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Returns the versions that generated the events so far, oldest first. */
  public List<Long> versions() {
    return List.copyOf(versions);
  }

  /** Returns the text. */
  public String text() {
    return text.toString();
  }
}
