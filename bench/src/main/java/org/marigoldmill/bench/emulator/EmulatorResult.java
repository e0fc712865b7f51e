package org.marigoldmill.bench.emulator;

import java.util.List;

/**
 * Result of a simulated scenario.
 *
 * @param trainers group counts of each trainer
 * @param loads number of weight loads
 * @param moves number of runs stopped in order to continue on another engine
 */
public record EmulatorResult(List<GroupCounts> trainers, int loads, int moves) {

  /**
   * Counts of the groups that a trainer waits for.
   *
   * @param owed wanted groups of all steps that fit into the scenario's length
   * @param inTime groups that were complete by their due time
   * @param late groups that were complete after their due time but before the trainer gave up
   */
  public record GroupCounts(int owed, int inTime, int late) {
    /** Returns the worth of the complete groups as a share of the worth of all groups, 0 to 1. */
    public double worth() {
      return owed == 0 ? 0 : (inTime + EmulatedTrainer.LATE_GROUP_WORTH * late) / owed;
    }
  }

  /** Returns the worth of all trainers together, 0 to 1. */
  public double worth() {
    return total().worth();
  }

  /** Returns the worth of the worst-served trainer, 0 to 1. */
  public double lowestWorth() {
    return trainers.stream().mapToDouble(GroupCounts::worth).min().orElse(0);
  }

  /** Returns the sum of the counts of all trainers. */
  public GroupCounts total() {
    return trainers.stream()
        .reduce(
            new GroupCounts(0, 0, 0),
            (a, b) ->
                new GroupCounts(a.owed() + b.owed(), a.inTime() + b.inTime(), a.late() + b.late()));
  }
}
