/** Calls from a caller to an upstream and back. */
package org.marigoldmill.server.call;
