package org.marigoldmill.core.submission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.marigoldmill.schema.submission.TextPart;

/**
 * Joins the stored parts of texts.
 *
 * <p>A part may be missing or older than the one after it, when an append without an answer took
 * effect late; the text then ends before the gap.
 */
public final class TextParts {
  private record Writing(String digest, String writer) {}

  private final Map<Writing, TreeMap<Integer, TextPart>> parts = new HashMap<>();

  /** Creates a collection without parts. */
  public TextParts() {}

  /** Adds a part. */
  public void add(TextPartKey key, TextPart part) {
    parts
        .computeIfAbsent(new Writing(key.digest(), key.writer()), w -> new TreeMap<>())
        .put(key.number(), part);
  }

  /** Returns the longest text of each item, by digest. */
  public Map<String, TextSnapshot> texts() {
    Map<String, TextSnapshot> texts = new HashMap<>();
    parts.forEach(
        (writing, numbered) ->
            join(numbered)
                .ifPresent(
                    text ->
                        texts.merge(
                            writing.digest(),
                            text,
                            (a, b) -> a.lastEventId() >= b.lastEventId() ? a : b)));
    return texts;
  }

  private static Optional<TextSnapshot> join(Map<Integer, TextPart> numbered) {
    StringBuilder text = new StringBuilder();
    Optional<TextPart> last = Optional.empty();
    int next = 0;
    for (Map.Entry<Integer, TextPart> entry : numbered.entrySet()) {
      TextPart part = entry.getValue();
      if (entry.getKey() != next || part.getStart() != text.length()) {
        break;
      }
      text.append(part.getText());
      last = Optional.of(part);
      next++;
    }
    return last.map(
        p ->
            new TextSnapshot(
                text.toString(),
                p.getLastEvent(),
                p.getVersionsList(),
                p.getSoftwareVersion(),
                p.getService(),
                p.getComplete()));
  }
}
