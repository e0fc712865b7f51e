/** Leases by claims in the log, and the check of a lease before each effect. */
package org.marigoldmill.core.lease;
