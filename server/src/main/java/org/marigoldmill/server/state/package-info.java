/** State shared by the tasks of one process. */
package org.marigoldmill.server.state;
