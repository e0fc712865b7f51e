package org.marigoldmill.core.submission;

import java.util.Optional;

/**
 * Key under which a part of a submission is stored, written {@code LETTER/ID/NAME}.
 *
 * @param part part of the submission that is stored
 * @param submission id of the submission
 * @param name index of a chunk or id of an item; empty for the header
 */
public record SubmissionKey(Part part, String submission, String name) {
  private static final char SEPARATOR = '/';

  /** Part of a submission that has a record of its own. */
  public enum Part {
    /** The submission without its items, stored as a {@code Submission}. */
    HEADER('h'),
    /** Some of its items, stored as an {@code ItemChunk}. */
    CHUNK('c'),
    /** The result of one item, stored as an {@code ItemResult}. */
    RESULT('r');

    private final char letter;

    Part(char letter) {
      this.letter = letter;
    }
  }

  /** Returns the key of a submission's header. */
  public static SubmissionKey header(String submission) {
    return new SubmissionKey(Part.HEADER, submission, "");
  }

  /** Returns the key of a chunk of items. */
  public static SubmissionKey chunk(String submission, int index) {
    return new SubmissionKey(Part.CHUNK, submission, Integer.toString(index));
  }

  /** Returns the key of an item's result. */
  public static SubmissionKey result(String submission, String item) {
    return new SubmissionKey(Part.RESULT, submission, item);
  }

  /** Parses the stored form of a key; returns empty if it is malformed. */
  public static Optional<SubmissionKey> parse(String text) {
    int end = text.lastIndexOf(SEPARATOR);
    if (end < 2 || text.charAt(1) != SEPARATOR) {
      return Optional.empty();
    }
    for (Part part : Part.values()) {
      if (part.letter == text.charAt(0)) {
        return Optional.of(
            new SubmissionKey(part, text.substring(2, end), text.substring(end + 1)));
      }
    }
    return Optional.empty();
  }

  /** Returns the stored form of this key. */
  public String text() {
    return "" + part.letter + SEPARATOR + submission + SEPARATOR + name;
  }
}
