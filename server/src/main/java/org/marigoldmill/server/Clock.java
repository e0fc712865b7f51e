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

  /**
   * Returns a monotonic clock that also counts time in which the machine was suspended.
   *
   * <p>The steady clock may stand still meanwhile, so the time of day counts where it has gone
   * further. A time of day that is set ahead makes this clock jump, which only ends leases early.
   */
  static Clock suspendAware() {
    return new SuspendAwareClock(() -> System.nanoTime() / 1_000_000, System::currentTimeMillis);
  }
}
