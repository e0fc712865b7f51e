package org.marigoldmill.core.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.marigoldmill.core.key.KeyDirectory;

/** Identity of a request: it comes again with the same caller, destination, path and body. */
public final class RequestFingerprint {
  private RequestFingerprint() {}

  /**
   * Returns the identity of a request.
   *
   * @param organisation organisation that it runs for; empty for none
   * @param destination service or host that it is sent to
   * @param path path and query
   * @param body whole body
   * @return a hash
   */
  public static String of(String organisation, String destination, String path, byte[] body) {
    return KeyDirectory.hash(
        String.join("\0", organisation, destination, path, new String(body, UTF_8)));
  }
}
