/** State that the duties of one process share. */
package org.marigoldmill.server.state;
