/** Bounded queues before the upstreams: priority classes, and fairness among organisations. */
package org.marigoldmill.core.admission;
