package org.marigoldmill.cli;

/** Thrown when a command is called with missing or invalid arguments. */
final class UsageException extends RuntimeException {
  UsageException(String message) {
    super(message);
  }
}
