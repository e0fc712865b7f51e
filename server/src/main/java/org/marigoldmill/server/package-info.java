/** One entry instance: its duties, and how they are joined. */
package org.marigoldmill.server;
