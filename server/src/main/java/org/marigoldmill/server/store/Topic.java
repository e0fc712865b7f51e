package org.marigoldmill.server.store;

/**
 * A topic of the store.
 *
 * @param name name
 * @param keyed whether the newest record of each key is kept for good
 */
public record Topic(String name, boolean keyed) {}
