package org.marigoldmill.core.submission;

import java.util.OptionalLong;

/**
 * An event of an engine's response stream.
 *
 * @param id position in the item's text; consecutive events have consecutive ids
 * @param data generated text
 * @param version new version of the weights if it changes at this event, otherwise empty
 */
public record GeneratedEvent(long id, String data, OptionalLong version) {}
