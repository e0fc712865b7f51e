/** Which engines may continue a text or a stream that another engine has started. */
package org.marigoldmill.core.continuation;
