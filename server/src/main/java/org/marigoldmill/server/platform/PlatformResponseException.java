package org.marigoldmill.server.platform;

/** Thrown when the platform answers with an unsuccessful HTTP status. */
public final class PlatformResponseException extends RuntimeException {

  PlatformResponseException(String path, int status) {
    super("platform answered " + path + " with unsuccessful HTTP status " + status);
  }
}
