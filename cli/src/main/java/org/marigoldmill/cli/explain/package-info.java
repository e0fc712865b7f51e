/** Gathers from the logs of several instances what happened to one request. */
package org.marigoldmill.cli.explain;
