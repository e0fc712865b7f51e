/** Which other instance carries a request that this one cannot send to an upstream. */
package org.marigoldmill.core.relay;
