/** Counting of usage. */
package org.marigoldmill.server.usage;
