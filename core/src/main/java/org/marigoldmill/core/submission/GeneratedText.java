package org.marigoldmill.core.submission;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;

/** The text generated for an item so far, across all of its runs. Thread-safe. */
public final class GeneratedText {
  /** Largest text that is held in memory, in characters. */
  private static final int MAX_CHARACTERS = 4 * 1024 * 1024;

  private final StringBuilder text = new StringBuilder();
  private final TreeSet<Long> versions = new TreeSet<>();
  private OptionalLong lastEventId = OptionalLong.empty();
  private long version;
  private String runSoftwareVersion = "";
  private Optional<String> softwareVersion = Optional.empty();
  private int restarts;
  private boolean complete;

  /** Creates an empty text. */
  public GeneratedText() {}

  /**
   * Sets the versions of a new run; the text is continued.
   *
   * @param initialVersion version of the weights that it starts with
   * @param engineSoftware version of the engine's software
   * @throws IllegalArgumentException if the text was begun with another version of the software
   */
  public synchronized void startRun(long initialVersion, String engineSoftware) {
    if (softwareVersion.filter(v -> !v.equals(engineSoftware)).isPresent()) {
      throw new IllegalArgumentException(
          "software version: expected " + softwareVersion.get() + " but was " + engineSoftware);
    }
    version = initialVersion;
    runSoftwareVersion = engineSoftware;
  }

  /**
   * Appends an event.
   *
   * @throws IllegalArgumentException if its id does not directly follow the last event's, or the
   *     text would be larger than accepted
   */
  public synchronized void append(GeneratedEvent event) {
    if (lastEventId.isPresent() && event.id() != lastEventId.getAsLong() + 1) {
      throw new IllegalArgumentException(
          "event id: expected " + (lastEventId.getAsLong() + 1) + " but was " + event.id());
    }
    if (text.length() + event.data().length() > MAX_CHARACTERS) {
      throw new IllegalArgumentException(
          "text: expected at most " + MAX_CHARACTERS + " characters but got more");
    }
    if (lastEventId.isPresent()) {
      text.append('\n');
    }
    version = event.version().orElse(version);
    versions.add(version);
    softwareVersion = Optional.of(runSoftwareVersion);
    text.append(event.data());
    lastEventId = OptionalLong.of(event.id());
  }

  /** Discards the text and its versions, so that generation restarts from the beginning. */
  public synchronized void restart() {
    text.setLength(0);
    versions.clear();
    softwareVersion = Optional.empty();
    lastEventId = OptionalLong.empty();
    complete = false;
    restarts++;
  }

  /** Records that a run has ended with the last event, so that no event is missing. */
  public synchronized void markComplete() {
    complete = true;
  }

  /** Returns whether no event is missing. */
  public synchronized boolean complete() {
    return complete;
  }

  /** Returns how often the text has been discarded. */
  public synchronized int restarts() {
    return restarts;
  }

  /**
   * Goes on from a text that another run has left; this one must be empty.
   *
   * @throws IllegalArgumentException if this text has an event
   */
  public synchronized void resume(TextSnapshot snapshot) {
    if (lastEventId.isPresent()) {
      throw new IllegalArgumentException(
          "text: expected none but it ends with event " + lastEventId.getAsLong());
    }
    text.append(snapshot.text());
    versions.addAll(snapshot.versions());
    softwareVersion = Optional.of(snapshot.softwareVersion());
    lastEventId = OptionalLong.of(snapshot.lastEventId());
    complete = snapshot.complete();
  }

  /**
   * Returns the text as it is now, or empty if there is none.
   *
   * @param service service whose engines generated it
   */
  public synchronized Optional<TextSnapshot> snapshot(String service) {
    return softwareVersion.map(
        v -> new TextSnapshot(text(), lastEventId.getAsLong(), versions(), v, service, complete));
  }

  /** Returns the id of the last event, or empty if there is none. */
  public synchronized OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Returns the versions of the weights that generated the text, oldest first. */
  public synchronized List<Long> versions() {
    return List.copyOf(versions);
  }

  /** Returns the version of the software that generated the text, or empty without a text. */
  public synchronized Optional<String> softwareVersion() {
    return softwareVersion;
  }

  /** Returns the text, with the events' data joined by line feeds. */
  public synchronized String text() {
    return text.toString();
  }
}
