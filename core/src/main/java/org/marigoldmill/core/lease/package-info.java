/** Leases by claims in the log, and the gate before each effect. */
package org.marigoldmill.core.lease;
