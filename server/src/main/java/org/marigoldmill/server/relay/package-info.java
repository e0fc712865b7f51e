/** Requests that one instance carries for another one, which reaches no upstream. */
package org.marigoldmill.server.relay;
