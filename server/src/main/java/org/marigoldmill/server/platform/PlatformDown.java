package org.marigoldmill.server.platform;

/** The platform answered, but not with success. */
public final class PlatformDown extends RuntimeException {

  PlatformDown(String path, int status) {
    super("the platform answered " + path + " with status " + status);
  }
}
