/** Planning of orders for upstreams. */
package org.marigoldmill.core.supply;
