/** Port to the platform's log store, with followers and replicas of its partitions. */
package org.marigoldmill.server.store;
