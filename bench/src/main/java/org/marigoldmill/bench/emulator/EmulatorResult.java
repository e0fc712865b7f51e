package org.marigoldmill.bench.emulator;

import java.util.List;

/**
 * What became of a scenario.
 *
 * @param trainers what the groups of each trainer earned
 * @param loads loads of weights
 * @param moves runs that went on at another engine
 */
public record EmulatorResult(List<GroupCounts> trainers, int loads, int moves) {

  /**
   * Groups that a trainer waited for.
   *
   * @param owed groups of all steps that the day had time for
   * @param inTime groups that were complete in time
   * @param late groups that were complete before the trainer gave up
   */
  public record GroupCounts(int owed, int inTime, int late) {
    /** Returns the share of the worth that was earned, 0 to 1. */
    public double worth() {
      return owed == 0 ? 0 : (inTime + EmulatedTrainer.LATE_SHARE * late) / owed;
    }
  }

  /** Returns the share of the worth that was earned by all trainers together, 0 to 1. */
  public double worth() {
    return total().worth();
  }

  /** Returns the share of the worth that the worst-served trainer earned, 0 to 1. */
  public double lowestWorth() {
    return trainers.stream().mapToDouble(GroupCounts::worth).min().orElse(0);
  }

  /** Returns the sum over the trainers. */
  public GroupCounts total() {
    return trainers.stream()
        .reduce(
            new GroupCounts(0, 0, 0),
            (a, b) ->
                new GroupCounts(a.owed() + b.owed(), a.inTime() + b.inTime(), a.late() + b.late()));
  }
}
