/** Resolution of the API key of a caller to its organisation. */
package org.marigoldmill.core.key;
