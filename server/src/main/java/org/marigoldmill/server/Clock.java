package org.marigoldmill.server;

/** A monotonic clock in milliseconds that advances even while the process is stopped. */
@FunctionalInterface
public interface Clock {
  /** Returns the current time in milliseconds since an arbitrary origin. */
  long now();

  /** Returns the monotonic clock of this machine, which may not advance during suspend. */
  static Clock monotonic() {
    return () -> System.nanoTime() / 1_000_000;
  }

  /**
   * Returns a monotonic clock that also advances while the machine is suspended.
   *
   * <p>The machine's monotonic clock may stop during suspend, so the wall clock is used where it
   * has advanced further. Setting the wall clock forward makes this clock jump, which only ends
   * leases early.
   */
  static Clock suspendAware() {
    return new SuspendAwareClock(() -> System.nanoTime() / 1_000_000, System::currentTimeMillis);
  }
}
