/** Callers' requests on a deployment: routing, attempts, submissions and refusals. */
package org.marigoldmill.server.gateway;
