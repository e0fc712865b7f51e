/** Submissions of rollout items: their stored form, their results, and the text of an item. */
package org.marigoldmill.core.submission;
