/** Handling of callers' requests: routing, attempts at upstreams, submissions and refusals. */
package org.marigoldmill.server.gateway;
