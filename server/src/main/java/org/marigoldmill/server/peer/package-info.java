/** Exchange between entry instances over gRPC. */
package org.marigoldmill.server.peer;
