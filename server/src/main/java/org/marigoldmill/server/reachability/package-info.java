/** Observes whether this instance reaches the upstreams. */
package org.marigoldmill.server.reachability;
