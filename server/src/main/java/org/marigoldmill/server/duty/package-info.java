/** Duties that one instance of a deployment at a time carries out. */
package org.marigoldmill.server.duty;
