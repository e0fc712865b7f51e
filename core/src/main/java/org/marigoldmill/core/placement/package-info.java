/** Placement of items on engines: the division of engines among models and the use of slots. */
package org.marigoldmill.core.placement;
