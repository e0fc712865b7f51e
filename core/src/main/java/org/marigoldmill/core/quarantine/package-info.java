/** Requests that crash what runs them. */
package org.marigoldmill.core.quarantine;
