/** HTTP server and client on Undertow, with typed calls and responses. */
package org.marigoldmill.http;
