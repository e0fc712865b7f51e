/** Running the items of submissions on engines, and keeping their results. */
package org.marigoldmill.server.batch;
