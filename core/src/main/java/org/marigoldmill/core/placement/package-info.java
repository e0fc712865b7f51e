/** Which engine generates which item: shares of engines for models, and places on an engine. */
package org.marigoldmill.core.placement;
