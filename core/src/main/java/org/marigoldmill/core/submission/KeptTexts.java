package org.marigoldmill.core.submission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Unfinished texts that nobody generates now, by the digest of their item.
 *
 * <p>Answers the load of steps that are ended while some of their groups lack an item: the trainer
 * submits these groups again and waits for them first, so their longest items would be generated
 * from the first event in step after step. Texts are kept for a limited time and up to a total
 * size, the oldest first to go.
 *
 * <p>Times are readings of a monotonic clock in milliseconds.
 */
public final class KeptTexts {
  /** Longer than a step and the training after it last, in milliseconds. */
  public static final long KEPT_MS = 30_000;

  /** Total size of the texts that are kept, in characters. */
  static final long MAX_CHARACTERS = 4L * 1024 * 1024;

  private record Kept(TextSnapshot text, long sinceMs) {}

  private final Map<String, Kept> kept = new LinkedHashMap<>();
  private long characters;

  /** Creates an empty collection. */
  public KeptTexts() {}

  /** Keeps the text of an item, unless a longer one is kept already. */
  public synchronized void keep(String digest, TextSnapshot text, long nowMs) {
    removeExpired(nowMs);
    Optional<TextSnapshot> longer = text(digest).filter(t -> t.lastEventId() >= text.lastEventId());
    if (longer.isPresent()) {
      return;
    }
    remove(digest);
    kept.put(digest, new Kept(text, nowMs));
    characters += text.text().length();
    Iterator<String> oldest = kept.keySet().iterator();
    while (characters > MAX_CHARACTERS) {
      String digestOfOldest = oldest.next();
      characters -= kept.get(digestOfOldest).text().text().length();
      oldest.remove();
    }
  }

  /** Returns whether a text of an item is kept. */
  public synchronized boolean contains(String digest, long nowMs) {
    removeExpired(nowMs);
    return kept.containsKey(digest);
  }

  /** Removes and returns the text of an item if a submission accepts its versions. */
  public synchronized Optional<TextSnapshot> take(
      String digest, long minVersion, boolean singleVersion, long nowMs) {
    removeExpired(nowMs);
    Optional<TextSnapshot> found = text(digest);
    remove(digest);
    return found.filter(t -> t.fits(minVersion, singleVersion));
  }

  private Optional<TextSnapshot> text(String digest) {
    return Optional.ofNullable(kept.get(digest)).map(Kept::text);
  }

  private void remove(String digest) {
    Kept removed = kept.remove(digest);
    if (removed != null) {
      characters -= removed.text().text().length();
    }
  }

  private void removeExpired(long nowMs) {
    Iterator<Kept> oldest = kept.values().iterator();
    // Texts are in the order in which they were kept.
    while (oldest.hasNext()) {
      Kept next = oldest.next();
      if (nowMs - next.sinceMs() <= KEPT_MS) {
        return;
      }
      characters -= next.text().text().length();
      oldest.remove();
    }
  }
}
