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
 * Submissions of one partition, computed from its records; every process computes the same state.
 *
 * <p>The records that change the state are derived from it and appended conditionally, only if the
 * partition still ends at {@link #nextOffset()}. Therefore an item gets exactly one result, and
 * results are ordered by offset, whichever process ran the items.
 *
 * <pre>{@code
 * PartitionState state = new PartitionState();
 * List<KeyedRecord> records = state.acceptanceRecords(header, items, 200_000);
 * }</pre>
 */
public final class PartitionState {
  private final Map<String, StoredSubmission> submissions = new HashMap<>();
  private long nextOffset;
  private long lastApplied = -1;

  /** Creates the state before the first record. */
  public PartitionState() {}

  /** Returns the offset of the first record that is not yet applied. */
  public synchronized long nextOffset() {
    return nextOffset;
  }

  /** Clears the state, so that the partition can be read again from the beginning. */
  public synchronized void reset() {
    submissions.clear();
    nextOffset = 0;
    lastApplied = -1;
  }

  /**
   * Returns whether there is no gap before the last applied record, so that positions are final.
   */
  public synchronized boolean contiguous() {
    return lastApplied < nextOffset;
  }

  /** Marks all records before an offset as applied. */
  public synchronized void advance(long offset) {
    nextOffset = Math.max(nextOffset, offset);
  }

  /**
   * Applies a record.
   *
   * @param offset offset of the record
   * @param key key of the record, in its stored form
   * @param value value of the record, or empty if it deletes the key
   * @throws IllegalArgumentException if the key or the value cannot be parsed
   */
  public synchronized void apply(long offset, String key, Optional<byte[]> value) {
    SubmissionKey parsed =
        SubmissionKey.parse(key)
            .orElseThrow(
                () -> new IllegalArgumentException("key: expected LETTER/ID/NAME but was " + key));
    lastApplied = Math.max(lastApplied, offset);
    if (value.isEmpty()) {
      delete(parsed);
      return;
    }
    StoredSubmission stored =
        submissions.computeIfAbsent(parsed.submission(), id -> new StoredSubmission());
    try {
      switch (parsed.part()) {
        case HEADER -> stored.applyHeader(Submission.parseFrom(value.get()));
        case CHUNK ->
            stored.applyChunk(Integer.parseInt(parsed.name()), ItemChunk.parseFrom(value.get()));
        case RESULT -> stored.applyResult(offset, ItemResult.parseFrom(value.get()));
        default ->
            throw new IllegalStateException("unknown part of a submission: " + parsed.part());
      }
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(
          "malformed value of key " + key + ": " + e.getMessage(), e);
    }
  }

  /** Returns a submission, or empty unless all its parts have been read. */
  public synchronized Optional<Submission> submission(String id) {
    return Optional.ofNullable(submissions.get(id)).flatMap(StoredSubmission::completeHeader);
  }

  /** Returns the submissions that are not ended and have items without a result. */
  public synchronized List<Submission> unfinishedSubmissions() {
    return submissions.values().stream()
        .flatMap(
            s ->
                s
                    .completeHeader()
                    .filter(h -> !h.getEnded() && s.resultCount() < h.getItemCount())
                    .stream())
        .toList();
  }

  /** Returns all submissions whose parts have been read, ended ones included. */
  public synchronized List<Submission> submissions() {
    return submissions.values().stream().flatMap(s -> s.completeHeader().stream()).toList();
  }

  /**
   * Returns the ids of ended submissions that were accepted before a time, in Unix milliseconds.
   */
  public synchronized List<String> endedAcceptedBefore(long unixMs) {
    return submissions().stream()
        .filter(h -> h.getEnded() && h.getAcceptedAtMs() < unixMs)
        .map(Submission::getId)
        .toList();
  }

  /** Returns the items of a submission that have no result yet, in submission order. */
  public synchronized List<RolloutItem> openItems(String id) {
    StoredSubmission stored = submissions.get(id);
    if (stored == null) {
      return List.of();
    }
    return stored.items().stream().filter(i -> !stored.hasResult(i.getId())).toList();
  }

  /** Returns whether a submission is still active and an item of it has no result. */
  public synchronized boolean needsResult(String submission, String item) {
    StoredSubmission stored = submissions.get(submission);
    return stored != null && !stored.ended() && !stored.hasResult(item);
  }

  /** Returns whether an item has a result, also in a submission that has ended. */
  public synchronized boolean hasResult(String submission, String item) {
    StoredSubmission stored = submissions.get(submission);
    return stored != null && stored.hasResult(item);
  }

  /** Returns the results of a submission, ordered by offset. */
  public synchronized List<ItemResult> results(String id) {
    StoredSubmission stored = submissions.get(id);
    return stored == null ? List.of() : stored.results();
  }

  /**
   * Returns the records that store a new submission, or none if it is already stored.
   *
   * @param header header without item and chunk counts
   * @param items items of the submission
   * @param chunkBytes target size of a chunk of items, in bytes; a larger item gets its own chunk
   */
  public synchronized List<KeyedRecord> acceptanceRecords(
      Submission header, List<RolloutItem> items, int chunkBytes) {
    StoredSubmission stored = submissions.get(header.getId());
    if (stored != null && stored.completeHeader().isPresent()) {
      return List.of();
    }
    List<ItemChunk> chunks = chunks(items, chunkBytes);
    List<KeyedRecord> records = new ArrayList<>();
    IntStream.range(0, chunks.size())
        .mapToObj(
            i ->
                KeyedRecord.of(SubmissionKey.chunk(header.getId(), i), chunks.get(i).toByteArray()))
        .forEach(records::add);
    Submission sizedHeader =
        header.toBuilder().setItemCount(items.size()).setChunkCount(chunks.size()).build();
    records.add(KeyedRecord.of(SubmissionKey.header(header.getId()), sizedHeader.toByteArray()));
    return records;
  }

  /** Returns the record that stores a result, or none if the item does not need one. */
  public synchronized List<KeyedRecord> resultRecords(ItemResult result) {
    if (!needsResult(result.getSubmissionId(), result.getItemId())) {
      return List.of();
    }
    SubmissionKey key = SubmissionKey.result(result.getSubmissionId(), result.getItemId());
    return List.of(KeyedRecord.of(key, result.toByteArray()));
  }

  /** Returns the records that end a submission and delete its items, or none if it has ended. */
  public synchronized List<KeyedRecord> endRecords(String id) {
    Optional<Submission> header = submission(id).filter(h -> !h.getEnded());
    if (header.isEmpty()) {
      return List.of();
    }
    List<KeyedRecord> records = new ArrayList<>();
    Submission ended = header.get().toBuilder().setEnded(true).build();
    records.add(KeyedRecord.of(SubmissionKey.header(id), ended.toByteArray()));
    IntStream.range(0, ended.getChunkCount())
        .mapToObj(i -> KeyedRecord.tombstone(SubmissionKey.chunk(id, i)))
        .forEach(records::add);
    return records;
  }

  /** Returns the records that delete all parts of a submission. */
  public synchronized List<KeyedRecord> deletionRecords(String id) {
    StoredSubmission stored = submissions.get(id);
    if (stored == null) {
      return List.of();
    }
    List<KeyedRecord> records = new ArrayList<>(endRecords(id).stream().skip(1).toList());
    stored.resultItemIds().stream()
        .map(item -> KeyedRecord.tombstone(SubmissionKey.result(id, item)))
        .forEach(records::add);
    records.add(KeyedRecord.tombstone(SubmissionKey.header(id)));
    return records;
  }

  private void delete(SubmissionKey key) {
    StoredSubmission stored = submissions.get(key.submission());
    if (stored == null) {
      return;
    }
    if (key.part() == SubmissionKey.Part.HEADER) {
      submissions.remove(key.submission());
    } else if (key.part() == SubmissionKey.Part.CHUNK) {
      stored.removeChunk(Integer.parseInt(key.name()));
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
