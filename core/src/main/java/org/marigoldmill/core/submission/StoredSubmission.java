package org.marigoldmill.core.submission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.marigoldmill.schema.submission.ItemChunk;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;

/** One submission as far as it has been read; a part of {@link PartitionState}. */
final class StoredSubmission {
  private final TreeMap<Integer, ItemChunk> chunks = new TreeMap<>();
  private final TreeMap<Long, ItemResult> resultsByOffset = new TreeMap<>();
  private final Map<String, Long> offsetByItem = new HashMap<>();
  private Optional<Submission> head = Optional.empty();

  void head(Submission read) {
    boolean reopened = head.filter(Submission::getEnded).isPresent() && !read.getEnded();
    if (!reopened) {
      head = Optional.of(read);
    }
    if (read.getEnded()) {
      chunks.clear();
    }
  }

  void chunk(int index, ItemChunk chunk) {
    if (!ended()) {
      chunks.put(index, chunk);
    }
  }

  void dropChunk(int index) {
    chunks.remove(index);
  }

  /** The first result of an item holds its position; a later one changes nothing. */
  void result(long offset, ItemResult result) {
    Long known = offsetByItem.get(result.getItemId());
    if (known != null && known <= offset) {
      return;
    }
    if (known != null) {
      resultsByOffset.remove(known);
    }
    offsetByItem.put(result.getItemId(), offset);
    resultsByOffset.put(offset, result);
  }

  /** Returns the head once all parts have been read. */
  Optional<Submission> whole() {
    return head.filter(h -> h.getEnded() || chunks.size() == h.getChunkCount());
  }

  boolean ended() {
    return head.filter(Submission::getEnded).isPresent();
  }

  boolean hasResult(String item) {
    return offsetByItem.containsKey(item);
  }

  List<ItemResult> results() {
    return List.copyOf(resultsByOffset.values());
  }

  int resultCount() {
    return resultsByOffset.size();
  }

  List<String> resultItems() {
    return List.copyOf(offsetByItem.keySet());
  }

  List<RolloutItem> items() {
    List<RolloutItem> items = new ArrayList<>();
    chunks.values().forEach(c -> items.addAll(c.getItemsList()));
    return items;
  }
}
