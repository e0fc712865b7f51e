/** Whether an instance reaches the upstreams, and what it may hold while it does not. */
package org.marigoldmill.core.reachability;
