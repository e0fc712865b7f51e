package org.marigoldmill.server.store;

import java.util.List;
import java.util.OptionalLong;
import org.marigoldmill.core.submission.KeyedRecord;

/** Port to the partitioned log store that holds all durable state. */
public interface LogStore {

  /** Outcome of an append. */
  enum AppendOutcome {
    /** All records are stored. */
    STORED,
    /** The partition does not end at the expected offset, so nothing was stored. */
    MOVED,
    /** The store rejected the append or was not reached, so nothing was stored. */
    REFUSED,
    /** No usable answer; the records may be stored, now or within seconds. */
    UNKNOWN
  }

  /**
   * Result of an append.
   *
   * @param outcome outcome of the append
   * @param offset offset of the first record if the outcome is STORED, -1 otherwise
   */
  record AppendResult(AppendOutcome outcome, long offset) {}

  /**
   * Result of a read.
   *
   * @param trimmed whether the store has deleted records at the requested offset
   * @param firstOffset oldest offset that the store retains
   * @param endOffset offset that the next appended record will get
   * @param records consecutive records from the requested offset on
   */
  record ReadResult(
      boolean trimmed, long firstOffset, long endOffset, List<StoredRecord> records) {}

  /**
   * The latest record of each key.
   *
   * @param nextOffset offset to continue reading from; some records may have later offsets
   * @param records one record for each key
   */
  record LatestRecords(long nextOffset, List<StoredRecord> records) {}

  /**
   * Assignment of a member of a consumer group.
   *
   * @param generation generation of the group, which increases with each rebalance
   * @param partitions partitions assigned to the member
   */
  record Membership(long generation, List<Integer> partitions) {}

  /**
   * Appends records atomically.
   *
   * @param expectedEndOffset offset at which the partition must end, or empty for an unconditional
   *     append
   */
  AppendResult append(
      Topic topic, int partition, OptionalLong expectedEndOffset, List<KeyedRecord> records);

  /**
   * Reads records from an offset on; waits for the first one if there is none yet.
   *
   * @param waitMs maximum wait for a record, in milliseconds
   * @throws StoreUnavailableException if the store gives no usable answer
   */
  ReadResult read(Topic topic, int partition, long fromOffset, long waitMs);

  /**
   * Reads the latest record of each key of a keyed topic.
   *
   * @throws StoreUnavailableException if the store gives no usable answer
   */
  LatestRecords readLatest(Topic topic, int partition);

  /**
   * Joins a consumer group of a topic, or renews the membership.
   *
   * @param ttlMs time after which the store removes a member that has not renewed, in milliseconds
   * @param generation generation of the last assignment; 0 when joining
   * @throws StoreUnavailableException if the store gives no usable answer
   */
  Membership join(String group, String member, Topic topic, long ttlMs, long generation);

  /** Leaves a consumer group; a failure is not reported, and the membership then expires. */
  void leave(String group, String member);
}
