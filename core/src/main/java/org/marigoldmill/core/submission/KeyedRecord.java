package org.marigoldmill.core.submission;

import java.util.Optional;

/**
 * A record to append to a topic: a value stored under a key.
 *
 * @param key key in its stored form, empty in a topic without keys
 * @param value the value, or empty for a tombstone, which deletes the key
 */
@SuppressWarnings("ArrayRecordComponent")
public record KeyedRecord(String key, Optional<byte[]> value) {

  /** Returns a record for a topic without keys. */
  public static KeyedRecord unkeyed(byte[] value) {
    return new KeyedRecord("", Optional.of(value));
  }

  /** Returns a record that stores a value under a key. */
  public static KeyedRecord of(SubmissionKey key, byte[] value) {
    return new KeyedRecord(key.text(), Optional.of(value));
  }

  /** Returns a record that deletes a key. */
  public static KeyedRecord tombstone(SubmissionKey key) {
    return new KeyedRecord(key.text(), Optional.empty());
  }
}
