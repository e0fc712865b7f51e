package org.marigoldmill.cli;

/** A command was called with wrong arguments. */
final class UsageException extends RuntimeException {
  UsageException(String message) {
    super(message);
  }
}
