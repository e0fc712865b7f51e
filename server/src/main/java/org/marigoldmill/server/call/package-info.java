/** Proxying of calls to upstreams: authentication, admission, retries and responses. */
package org.marigoldmill.server.call;
