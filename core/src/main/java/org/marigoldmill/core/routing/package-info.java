/** Choice of an upstream for a request. */
package org.marigoldmill.core.routing;
