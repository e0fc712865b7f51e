/** Clients of the platform's log, instance list, ordering and billing. */
package org.marigoldmill.server.platform;
