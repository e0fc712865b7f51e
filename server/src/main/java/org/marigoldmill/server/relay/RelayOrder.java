package org.marigoldmill.server.relay;

import java.util.List;
import java.util.OptionalLong;
import org.marigoldmill.http.HttpCall.Header;

/**
 * What another instance needs in order to carry a request as if its caller had sent it there.
 *
 * @param configVersion version of the configuration by which the request was routed here
 * @param caller the caller's headers
 */
public record RelayOrder(long configVersion, CallerHeaders caller) {

  /** The headers of the caller's request. */
  @FunctionalInterface
  public interface CallerHeaders {
    /**
     * Returns the headers to send.
     *
     * @param remainingMs time left until the caller's deadline, in milliseconds
     * @param resumeAfter id of the event after which to resume a stream; empty to start it, or to
     *     resume it where the caller asks
     */
    List<Header> headers(long remainingMs, OptionalLong resumeAfter);
  }
}
