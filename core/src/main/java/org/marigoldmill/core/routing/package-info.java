/** Client-side load balancing over upstreams. */
package org.marigoldmill.core.routing;
