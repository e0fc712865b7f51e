/** Port to the platform's store, and replicas that follow its partitions. */
package org.marigoldmill.server.store;
