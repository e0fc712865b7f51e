/** The commands of the one binary. */
package org.marigoldmill.cli;
