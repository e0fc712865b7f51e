/** Which engines may go on with a text or a stream that another engine has begun. */
package org.marigoldmill.core.continuation;
