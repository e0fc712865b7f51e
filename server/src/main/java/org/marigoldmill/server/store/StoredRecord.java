package org.marigoldmill.server.store;

import java.util.Optional;

/**
 * A record read from the store.
 *
 * @param offset offset in the partition
 * @param key key, or an empty string in a topic without keys
 * @param value value, or empty if the record is a tombstone that deletes the key
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredRecord(long offset, String key, Optional<byte[]> value) {}
