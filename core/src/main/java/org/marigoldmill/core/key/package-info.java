/** Resolution of a caller's key to its organisation. */
package org.marigoldmill.core.key;
