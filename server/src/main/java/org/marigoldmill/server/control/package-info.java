/** Leases, orders, bills and snapshots. */
package org.marigoldmill.server.control;
