/** Placement of items on engines: division of engines among models, load of engines, and moves. */
package org.marigoldmill.core.placement;
