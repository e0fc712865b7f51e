/** Duties that only the holder of the duty lease carries out, and the log that they share. */
package org.marigoldmill.server.duty;
