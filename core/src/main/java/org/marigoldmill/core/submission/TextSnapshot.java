package org.marigoldmill.core.submission;

import java.util.List;

/**
 * The text of an item as it was at one moment; an item can go on from there in another process, or
 * in a later step that submits it again.
 *
 * @param text events' data joined by line feeds
 * @param lastEventId id of the last event
 * @param versions versions of the weights that generated the text, oldest first
 * @param softwareVersion version of the software that generated it
 * @param service service whose engines generated it
 * @param complete whether the text is whole, so that no engine is needed to go on
 */
public record TextSnapshot(
    String text,
    long lastEventId,
    List<Long> versions,
    String softwareVersion,
    String service,
    boolean complete) {
  /** Copies the versions. */
  public TextSnapshot {
    versions = List.copyOf(versions);
  }

  /**
   * Returns whether a submission accepts the versions of the text.
   *
   * @param minVersion oldest version that it accepts
   * @param singleVersion whether a text must not mix versions
   */
  public boolean fits(long minVersion, boolean singleVersion) {
    return fits(versions, minVersion, singleVersion);
  }

  /** Returns whether a submission accepts the versions of a text. */
  public static boolean fits(List<Long> versions, long minVersion, boolean singleVersion) {
    return versions.stream().allMatch(v -> v >= minVersion)
        && (!singleVersion || versions.size() == 1);
  }
}
