package org.marigoldmill.server.store;

import java.util.List;
import java.util.OptionalLong;
import org.marigoldmill.core.submission.KeyedRecord;

/** Port to the store that keeps what must outlive every process. */
public interface LogStore {

  /** What became of an append. */
  enum AppendOutcome {
    /** The records are stored. */
    STORED,
    /** The partition does not end at the expected offset; nothing is stored. */
    MOVED,
    /** The store took nothing. */
    REFUSED,
    /** The records may be stored, now or within seconds. */
    UNKNOWN
  }

  /**
   * Answer to an append.
   *
   * @param outcome what became of it
   * @param offset offset of the first record, when stored
   */
  record AppendResult(AppendOutcome outcome, long offset) {}

  /**
   * Answer to a read.
   *
   * @param trimmed whether the store no longer has the records that were asked for
   * @param firstOffset oldest offset that it has
   * @param endOffset first offset that it does not have yet
   * @param records records in order
   */
  record ReadResult(
      boolean trimmed, long firstOffset, long endOffset, List<StoredRecord> records) {}

  /**
   * The newest record of each key.
   *
   * @param nextOffset where to read on; records may be newer than that
   * @param records one a key
   */
  record LatestRecords(long nextOffset, List<StoredRecord> records) {}

  /**
   * Membership of a group that shares partitions out.
   *
   * @param generation grows with each change
   * @param partitions partitions of this member
   */
  record Membership(long generation, List<Integer> partitions) {}

  /**
   * Appends records, all or none.
   *
   * @param expectedEndOffset offset at which the partition must end, or empty for any
   */
  AppendResult append(
      Topic topic, int partition, OptionalLong expectedEndOffset, List<KeyedRecord> records);

  /**
   * Reads records from an offset on, waiting for one to come.
   *
   * @param waitMs longest wait, in milliseconds
   * @throws StoreUnavailableException when no answer came
   */
  ReadResult read(Topic topic, int partition, long fromOffset, long waitMs);

  /**
   * Reads the newest record of each key.
   *
   * @throws StoreUnavailableException when no answer came
   */
  LatestRecords readLatest(Topic topic, int partition);

  /**
   * Joins a group over a topic or keeps the member in it.
   *
   * @throws StoreUnavailableException when no answer came
   */
  Membership join(String group, String member, Topic topic, long ttlMs, long generation);

  /** Leaves a group; best effort. */
  void leave(String group, String member);
}
