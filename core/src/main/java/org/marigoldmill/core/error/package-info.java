/** Error kinds, and the exception that carries one. */
package org.marigoldmill.core.error;
