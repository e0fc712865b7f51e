/** Reconstructs the timeline of one request from the logs of several instances. */
package org.marigoldmill.cli.explain;
