/** HTTP server and client on Undertow, with typed calls and answers. */
package org.marigoldmill.http;
