package org.marigoldmill.core.submission;

import java.util.OptionalLong;

/**
 * One event of a generated stream.
 *
 * @param id position in the stream
 * @param data generated text
 * @param version version of the weights, when it changes at this event
 */
public record GeneratedEvent(long id, String data, OptionalLong version) {}
