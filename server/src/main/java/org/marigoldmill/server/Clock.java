package org.marigoldmill.server;

/** Monotonic time in milliseconds; it goes on while the process is stopped. */
@FunctionalInterface
public interface Clock {
  /** Returns the present time. */
  long now();

  /** Returns the clock of this machine. */
  static Clock monotonic() {
    return () -> System.nanoTime() / 1_000_000;
  }
}
