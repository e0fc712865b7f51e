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

/** The parts of one submission that have been read; used by {@link PartitionState}. */
final class StoredSubmission {
  private final TreeMap<Integer, ItemChunk> chunks = new TreeMap<>();
  private final TreeMap<Long, ItemResult> resultsByOffset = new TreeMap<>();
  private final Map<String, Long> offsetByItem = new HashMap<>();
  private Optional<Submission> header = Optional.empty();

  void applyHeader(Submission newHeader) {
    boolean reopened = header.filter(Submission::getEnded).isPresent() && !newHeader.getEnded();
    if (!reopened) {
      header = Optional.of(newHeader);
    }
    if (newHeader.getEnded()) {
      chunks.clear();
    }
  }

  void applyChunk(int index, ItemChunk chunk) {
    if (!ended()) {
      chunks.put(index, chunk);
    }
  }

  void removeChunk(int index) {
    chunks.remove(index);
  }

  /** Keeps the result with the lowest offset of each item, so that its position is stable. */
  void applyResult(long offset, ItemResult result) {
    Long previousOffset = offsetByItem.get(result.getItemId());
    if (previousOffset != null && previousOffset <= offset) {
      return;
    }
    if (previousOffset != null) {
      resultsByOffset.remove(previousOffset);
    }
    offsetByItem.put(result.getItemId(), offset);
    resultsByOffset.put(offset, result);
  }

  /** Returns the header if all chunks have been read or are no longer needed, otherwise empty. */
  Optional<Submission> completeHeader() {
    return header.filter(h -> h.getEnded() || chunks.size() == h.getChunkCount());
  }

  boolean ended() {
    return header.filter(Submission::getEnded).isPresent();
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

  List<String> resultItemIds() {
    return List.copyOf(offsetByItem.keySet());
  }

  List<RolloutItem> items() {
    List<RolloutItem> items = new ArrayList<>();
    chunks.values().forEach(c -> items.addAll(c.getItemsList()));
    return items;
  }
}
