/** Command line of the {@code marigoldmill} binary. */
package org.marigoldmill.cli;
