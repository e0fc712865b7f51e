package org.marigoldmill.core.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.marigoldmill.core.key.KeyDirectory;

/** Fingerprint of a request, equal for a retry with the same caller, destination, path and body. */
public final class RequestFingerprint {
  private RequestFingerprint() {}

  /**
   * Returns the fingerprint of a request.
   *
   * @param organisation organisation on whose behalf it runs; empty for none
   * @param destination destination service or host
   * @param path path and query
   * @param body whole body
   * @return SHA-256 as hexadecimal digits
   */
  public static String of(String organisation, String destination, String path, byte[] body) {
    return KeyDirectory.hash(
        String.join("\0", organisation, destination, path, new String(body, UTF_8)));
  }
}
