package org.marigoldmill.server;

import java.util.function.LongSupplier;

/** Advances by the larger step of a monotonic clock and the wall clock. */
final class SuspendAwareClock implements Clock {
  private final LongSupplier monotonic;
  private final LongSupplier wallClock;
  private long lastMonotonic;
  private long lastWallClock;
  private long now;

  SuspendAwareClock(LongSupplier monotonic, LongSupplier wallClock) {
    this.monotonic = monotonic;
    this.wallClock = wallClock;
    this.lastMonotonic = monotonic.getAsLong();
    this.lastWallClock = wallClock.getAsLong();
    this.now = lastMonotonic;
  }

  @Override
  public synchronized long now() {
    long monotonicNow = monotonic.getAsLong();
    long wallClockNow = wallClock.getAsLong();
    now += Math.max(0, Math.max(monotonicNow - lastMonotonic, wallClockNow - lastWallClock));
    lastMonotonic = monotonicNow;
    lastWallClock = wallClockNow;
    return now;
  }
}
