package org.marigoldmill.core.supply;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Measures for how long an item of a model occupies a slot of an engine, per expected token.
 *
 * <p>The unit of the trainer's estimate cancels out, as well as its bias; prefill and waits for
 * weights are included.
 */
public final class SlotTimes {
  /** Items that must have been completed before an estimate is given. */
  static final int MIN_ITEMS = 8;

  /** Items after which older ones count half. */
  private static final int HALF_LIFE_ITEMS = 256;

  private static final class Sums {
    private double slotMs;
    private double expectedTokens;
    private int items;
  }

  private final Map<String, Sums> sumsByModel = new HashMap<>();

  /** Creates an empty measurement. */
  public SlotTimes() {}

  /** Records that an attempt of an item occupied a slot for a time, whatever its outcome. */
  public synchronized void recordAttempt(String model, long slotMs) {
    sums(model).slotMs += slotMs;
  }

  /** Records that an item is complete, for which the trainer expected a number of tokens. */
  public synchronized void recordCompleted(String model, long expectedTokens) {
    Sums sums = sums(model);
    sums.expectedTokens += Math.max(1, expectedTokens);
    sums.items++;
    if (sums.items >= 2 * HALF_LIFE_ITEMS) {
      sums.slotMs /= 2;
      sums.expectedTokens /= 2;
      sums.items /= 2;
    }
  }

  /** Returns the slot time for an expected token, in milliseconds; empty if not yet known. */
  public synchronized OptionalDouble msPerToken(String model) {
    Sums sums = sumsByModel.get(model);
    return sums == null || sums.items < MIN_ITEMS
        ? OptionalDouble.empty()
        : OptionalDouble.of(sums.slotMs / sums.expectedTokens);
  }

  private Sums sums(String model) {
    return sumsByModel.computeIfAbsent(model, m -> new Sums());
  }
}
