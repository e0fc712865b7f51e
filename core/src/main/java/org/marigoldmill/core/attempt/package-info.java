/** Limits on repeated attempts. */
package org.marigoldmill.core.attempt;
