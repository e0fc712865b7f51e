/** Stored form and state of submissions of rollout items, and the text generated for an item. */
package org.marigoldmill.core.submission;
