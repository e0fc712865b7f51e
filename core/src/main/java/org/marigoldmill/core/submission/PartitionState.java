package org.marigoldmill.core.submission;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.marigoldmill.schema.submission.ItemChunk;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;

/**
 * Submissions of one partition, reduced from its records alike by every process.
 *
 * <p>The records that change it are computed from the state itself and appended only where the
 * partition still ends at {@link #nextOffset()}. So an item gets one result, and its position among
 * the results is the order of their offsets, whoever ran it.
 *
 * <pre>{@code
 * PartitionState state = new PartitionState();
 * List<KeyedRecord> records = state.accept(head, items, 200_000);
 * }</pre>
 */
public final class PartitionState {
  private final Map<String, StoredSubmission> submissions = new HashMap<>();
  private long nextOffset;
  private long lastApplied = -1;

  /** Creates the state before the first record. */
  public PartitionState() {}

  /** Returns the first offset that the state does not contain. */
  public synchronized long nextOffset() {
    return nextOffset;
  }

  /** Forgets everything, to be read again. */
  public synchronized void reset() {
    submissions.clear();
    nextOffset = 0;
    lastApplied = -1;
  }

  /** Returns whether positions are final: no record before one that was applied is missing. */
  public synchronized boolean contiguous() {
    return lastApplied < nextOffset;
  }

  /** Notes that all records before an offset are contained. */
  public synchronized void advance(long offset) {
    nextOffset = Math.max(nextOffset, offset);
  }

  /**
   * Applies a record.
   *
   * @param offset its offset
   * @param key its stored key
   * @param value its value, or empty when the key is dropped
   * @throws IllegalArgumentException when the record has another form
   */
  public synchronized void apply(long offset, String key, Optional<byte[]> value) {
    SubmissionKey parsed =
        SubmissionKey.parse(key)
            .orElseThrow(
                () -> new IllegalArgumentException("key: expected LETTER/ID/NAME but was " + key));
    lastApplied = Math.max(lastApplied, offset);
    if (value.isEmpty()) {
      drop(parsed);
      return;
    }
    StoredSubmission stored =
        submissions.computeIfAbsent(parsed.submission(), id -> new StoredSubmission());
    try {
      switch (parsed.part()) {
        case HEADER -> stored.head(Submission.parseFrom(value.get()));
        case CHUNK ->
            stored.chunk(Integer.parseInt(parsed.name()), ItemChunk.parseFrom(value.get()));
        case RESULT -> stored.result(offset, ItemResult.parseFrom(value.get()));
        default -> throw new IllegalStateException("part " + parsed.part());
      }
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("value of " + key + ": " + e.getMessage(), e);
    }
  }

  /** Returns a submission whose parts have all been read. */
  public synchronized Optional<Submission> submission(String id) {
    return Optional.ofNullable(submissions.get(id)).flatMap(StoredSubmission::whole);
  }

  /** Returns all submissions that are not ended and lack results. */
  public synchronized List<Submission> unfinishedSubmissions() {
    return submissions.values().stream()
        .flatMap(
            s ->
                s.whole().filter(h -> !h.getEnded() && s.resultCount() < h.getItemCount()).stream())
        .toList();
  }

  /** Returns all submissions that are stored. */
  public synchronized List<Submission> submissions() {
    return submissions.values().stream().flatMap(s -> s.whole().stream()).toList();
  }

  /** Returns ended submissions that were accepted before a time, in Unix milliseconds. */
  public synchronized List<String> endedBefore(long unixMs) {
    return submissions().stream()
        .filter(h -> h.getEnded() && h.getAcceptedAtMs() < unixMs)
        .map(Submission::getId)
        .toList();
  }

  /** Returns the items of a submission that have no result yet, in their order. */
  public synchronized List<RolloutItem> openItems(String id) {
    StoredSubmission stored = submissions.get(id);
    if (stored == null) {
      return List.of();
    }
    return stored.items().stream().filter(i -> !stored.hasResult(i.getId())).toList();
  }

  /** Returns whether an item of a submission still wants a result. */
  public synchronized boolean needsResult(String submission, String item) {
    StoredSubmission stored = submissions.get(submission);
    return stored != null && !stored.ended() && !stored.hasResult(item);
  }

  /** Returns the results of a submission by position. */
  public synchronized List<ItemResult> results(String id) {
    StoredSubmission stored = submissions.get(id);
    return stored == null ? List.of() : stored.results();
  }

  /** Returns the records that accept a submission; none when it is stored already. */
  public synchronized List<KeyedRecord> acceptanceRecords(
      Submission head, List<RolloutItem> items, int chunkBytes) {
    StoredSubmission stored = submissions.get(head.getId());
    if (stored != null && stored.whole().isPresent()) {
      return List.of();
    }
    List<ItemChunk> chunks = chunks(items, chunkBytes);
    List<KeyedRecord> records = new ArrayList<>();
    IntStream.range(0, chunks.size())
        .mapToObj(
            i -> KeyedRecord.of(SubmissionKey.chunk(head.getId(), i), chunks.get(i).toByteArray()))
        .forEach(records::add);
    Submission sized =
        head.toBuilder().setItemCount(items.size()).setChunkCount(chunks.size()).build();
    records.add(KeyedRecord.of(SubmissionKey.header(head.getId()), sized.toByteArray()));
    return records;
  }

  /** Returns the record that stores a result; none when the item wants none. */
  public synchronized List<KeyedRecord> resultRecords(ItemResult result) {
    if (!needsResult(result.getSubmissionId(), result.getItemId())) {
      return List.of();
    }
    SubmissionKey key = SubmissionKey.result(result.getSubmissionId(), result.getItemId());
    return List.of(KeyedRecord.of(key, result.toByteArray()));
  }

  /** Returns the records that end a submission and drop its items; none when it is ended. */
  public synchronized List<KeyedRecord> endRecords(String id) {
    Optional<Submission> head = submission(id).filter(h -> !h.getEnded());
    if (head.isEmpty()) {
      return List.of();
    }
    List<KeyedRecord> records = new ArrayList<>();
    Submission ended = head.get().toBuilder().setEnded(true).build();
    records.add(KeyedRecord.of(SubmissionKey.header(id), ended.toByteArray()));
    IntStream.range(0, ended.getChunkCount())
        .mapToObj(i -> KeyedRecord.tombstone(SubmissionKey.chunk(id, i)))
        .forEach(records::add);
    return records;
  }

  /** Returns the records that drop everything stored of a submission. */
  public synchronized List<KeyedRecord> deletionRecords(String id) {
    StoredSubmission stored = submissions.get(id);
    if (stored == null) {
      return List.of();
    }
    List<KeyedRecord> records = new ArrayList<>(endRecords(id).stream().skip(1).toList());
    stored.resultItems().stream()
        .map(item -> KeyedRecord.tombstone(SubmissionKey.result(id, item)))
        .forEach(records::add);
    records.add(KeyedRecord.tombstone(SubmissionKey.header(id)));
    return records;
  }

  private void drop(SubmissionKey key) {
    StoredSubmission stored = submissions.get(key.submission());
    if (stored == null) {
      return;
    }
    if (key.part() == SubmissionKey.Part.HEADER) {
      submissions.remove(key.submission());
    } else if (key.part() == SubmissionKey.Part.CHUNK) {
      stored.dropChunk(Integer.parseInt(key.name()));
    }
  }

  private static List<ItemChunk> chunks(List<RolloutItem> items, int chunkBytes) {
    List<ItemChunk> chunks = new ArrayList<>();
    ItemChunk.Builder chunk = ItemChunk.newBuilder();
    int bytes = 0;
    for (RolloutItem item : items) {
      int size = item.getSerializedSize();
      if (bytes > 0 && bytes + size > chunkBytes) {
        chunks.add(chunk.build());
        chunk = ItemChunk.newBuilder();
        bytes = 0;
      }
      chunk.addItems(item);
      bytes += size;
    }
    chunks.add(chunk.build());
    return chunks;
  }
}
