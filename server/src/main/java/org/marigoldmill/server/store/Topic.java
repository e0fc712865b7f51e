package org.marigoldmill.server.store;

/**
 * A topic of the store.
 *
 * @param name name without the prefix that the store gives keyed topics
 * @param keyed whether the topic is compacted: the latest record of each key is never trimmed
 */
public record Topic(String name, boolean keyed) {}
