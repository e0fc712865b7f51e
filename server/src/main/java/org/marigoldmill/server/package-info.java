/** Entry instances: startup, shutdown, periodic tasks, metrics and tracing. */
package org.marigoldmill.server;
