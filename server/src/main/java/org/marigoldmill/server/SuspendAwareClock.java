package org.marigoldmill.server;

import java.util.function.LongSupplier;

/** Advances by the larger step of two clocks, so that it misses no time that either has seen. */
final class SuspendAwareClock implements Clock {
  private final LongSupplier steady;
  private final LongSupplier timeOfDay;
  private long lastSteady;
  private long lastTimeOfDay;
  private long now;

  SuspendAwareClock(LongSupplier steady, LongSupplier timeOfDay) {
    this.steady = steady;
    this.timeOfDay = timeOfDay;
    this.lastSteady = steady.getAsLong();
    this.lastTimeOfDay = timeOfDay.getAsLong();
    this.now = lastSteady;
  }

  @Override
  public synchronized long now() {
    long steadyNow = steady.getAsLong();
    long timeOfDayNow = timeOfDay.getAsLong();
    now += Math.max(0, Math.max(steadyNow - lastSteady, timeOfDayNow - lastTimeOfDay));
    lastSteady = steadyNow;
    lastTimeOfDay = timeOfDayNow;
    return now;
  }
}
