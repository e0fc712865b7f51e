package org.marigoldmill.core.submission;

import java.util.Optional;

/**
 * A value to store under a key.
 *
 * @param key stored key
 * @param value the value, or empty to drop the key
 */
@SuppressWarnings("ArrayRecordComponent")
public record KeyedRecord(String key, Optional<byte[]> value) {

  /** Returns a record of a topic without keys. */
  public static KeyedRecord unkeyed(byte[] value) {
    return new KeyedRecord("", Optional.of(value));
  }

  /** Returns a record that stores a value. */
  public static KeyedRecord of(SubmissionKey key, byte[] value) {
    return new KeyedRecord(key.text(), Optional.of(value));
  }

  /** Returns a record that drops a key. */
  public static KeyedRecord tombstone(SubmissionKey key) {
    return new KeyedRecord(key.text(), Optional.empty());
  }
}
