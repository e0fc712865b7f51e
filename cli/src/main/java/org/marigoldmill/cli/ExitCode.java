package org.marigoldmill.cli;

/** Exit codes of the binary. */
final class ExitCode {
  static final int DONE = 0;
  static final int FAILED = 1;
  static final int USAGE = 2;

  private ExitCode() {}
}
