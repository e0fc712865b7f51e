/** Which entry instances are live, as learnt from peers. */
package org.marigoldmill.core.membership;
