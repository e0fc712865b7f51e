/** Periodic tasks that claim leases, order upstreams, report usage and append snapshots. */
package org.marigoldmill.server.control;
