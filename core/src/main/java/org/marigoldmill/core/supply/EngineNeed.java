package org.marigoldmill.core.supply;

import java.util.Comparator;
import java.util.List;

/**
 * Calculates how many engines the open work of a model needs to be in time.
 *
 * <p>Answers the load of steps that are heavier than the present engines can finish until they are
 * due, and of steps that lose engines while they run.
 */
public final class EngineNeed {
  /**
   * Work of the open items of a submission.
   *
   * @param dueInMs time until its results are due, in milliseconds; negative if they are late
   * @param slotMs time for which its items will still occupy slots, in milliseconds
   */
  public record Work(long dueInMs, double slotMs) {}

  private EngineNeed() {}

  /**
   * Returns the number of engines that finish all work until it is due, earliest due time first.
   *
   * <p>This is the largest quotient, over all due times, of the slot time needed until then and
   * that of one engine. Work that is late or nearly due counts as due after the startup time,
   * because no engine ordered now can finish it sooner.
   *
   * @param slots requests that an engine runs at once, positive
   * @param startupMs time after which an ordered engine serves, in milliseconds, positive
   */
  public static double engines(List<Work> works, double slots, long startupMs) {
    if (!(slots > 0) || startupMs <= 0) {
      throw new IllegalArgumentException(
          "expected positive slots and startup time but got "
              + slots
              + " slots and "
              + startupMs
              + " ms");
    }
    double needed = 0;
    double slotMs = 0;
    List<Work> byDueTime = works.stream().sorted(Comparator.comparingLong(Work::dueInMs)).toList();
    for (Work work : byDueTime) {
      slotMs += work.slotMs();
      needed = Math.max(needed, slotMs / (slots * Math.max(startupMs, work.dueInMs())));
    }
    return needed;
  }
}
