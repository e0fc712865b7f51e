/** Orders for upstreams. */
package org.marigoldmill.core.supply;
