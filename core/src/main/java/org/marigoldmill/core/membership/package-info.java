/** Membership of entry instances by gossip, and rendezvous hashing over the members. */
package org.marigoldmill.core.membership;
