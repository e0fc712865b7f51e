/**
 * Even load from reports that are a little old: what is estimated of each engine's load, which
 * engine a request goes to, and how many background requests an instance has in flight.
 */
package org.marigoldmill.core.balance;
