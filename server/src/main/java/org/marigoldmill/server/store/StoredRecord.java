package org.marigoldmill.server.store;

import java.util.Optional;

/**
 * A record as it is read.
 *
 * @param offset its offset
 * @param key its key; empty in a topic without keys
 * @param value its value, or empty when the key was dropped
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredRecord(long offset, String key, Optional<byte[]> value) {}
