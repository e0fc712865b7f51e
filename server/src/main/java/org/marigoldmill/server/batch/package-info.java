/** Scheduling and running the items of submissions on engines, and storing their results. */
package org.marigoldmill.server.batch;
