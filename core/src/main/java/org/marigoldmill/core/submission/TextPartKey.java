package org.marigoldmill.core.submission;

import java.util.Optional;

/**
 * Key under which a part of a text is stored, written {@code DIGEST/WRITER/NUMBER}.
 *
 * @param digest digest of the item
 * @param writer unique to one writing of the text, since two processes may generate it at a time
 * @param number position of the part among those of the writer, from 0
 */
public record TextPartKey(String digest, String writer, int number) {
  private static final char SEPARATOR = '/';

  /** Parses the stored form of a key; returns empty if it is malformed. */
  public static Optional<TextPartKey> parse(String text) {
    int first = text.indexOf(SEPARATOR);
    int last = text.lastIndexOf(SEPARATOR);
    if (first < 1 || last <= first + 1) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new TextPartKey(
              text.substring(0, first),
              text.substring(first + 1, last),
              Integer.parseUnsignedInt(text.substring(last + 1))));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns the stored form of this key. */
  public String text() {
    return digest + SEPARATOR + writer + SEPARATOR + number;
  }
}
