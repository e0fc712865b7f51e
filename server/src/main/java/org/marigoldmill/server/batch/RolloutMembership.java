package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Set;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.StoreUnavailableException;

/**
 * Membership of this instance in the consumer group that assigns models to instances.
 *
 * <p>The store assigns partitions to the members of the group. The owner of the partition to which
 * a model's name is mapped runs the items of the model. Two concurrent owners only duplicate work,
 * because results are stored by conditional appends; so an owner that cannot reach the store keeps
 * its partitions.
 */
public final class RolloutMembership {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String GROUP = "rollouts";

  private final LogStore store;
  private final String member;
  private final long ttlMs;
  private final SubmissionPartitions partitions;
  private volatile Set<Integer> ownedPartitions = Set.of();
  private volatile boolean left;
  private boolean resting;
  private long generation;

  /**
   * Creates a membership; the group is joined by the first round.
   *
   * @param member id of the member, unique to this process
   * @param ttlMs time after which the store removes a member that has not renewed, in milliseconds
   */
  public RolloutMembership(
      LogStore store, String member, long ttlMs, SubmissionPartitions partitions) {
    this.store = store;
    this.member = member;
    this.ttlMs = ttlMs;
    this.partitions = partitions;
  }

  /** Joins the group or renews the membership; meant to be called periodically. */
  public synchronized void joinOrRenew() {
    if (left || resting) {
      return;
    }
    try {
      LogStore.Membership membership =
          store.join(GROUP, member, SubmissionPartitions.TOPIC, ttlMs, generation);
      generation = membership.generation();
      updateOwnedPartitions(membership.partitions());
    } catch (StoreUnavailableException e) {
      logger.atFine().log("group membership not renewed, partitions kept: %s", e.getMessage());
    }
  }

  /** Gives up all partitions and leaves the group for good. */
  public void leave() {
    left = true;
    updateOwnedPartitions(List.of());
    store.leave(GROUP, member);
  }

  /** Gives up all partitions and leaves the group until {@link #resume}. */
  public synchronized void rest() {
    resting = true;
    updateOwnedPartitions(List.of());
    store.leave(GROUP, member);
  }

  /** Joins the group again with the next round. */
  public synchronized void resume() {
    resting = false;
    generation = 0;
  }

  /** Returns whether this instance runs the items of a model. */
  public boolean ownsModel(String model) {
    return ownedPartitions.contains(partitions.partitionOf(model));
  }

  /**
   * Returns whether any partition is assigned to this instance.
   *
   * <p>At most as many instances as there are partitions have one, however many instances there
   * are.
   */
  public boolean ownsAnyPartition() {
    return !ownedPartitions.isEmpty();
  }

  /** Returns whether a partition is assigned to this instance. */
  public boolean ownsPartition(int partition) {
    return ownedPartitions.contains(partition);
  }

  private void updateOwnedPartitions(List<Integer> partitionIds) {
    Set<Integer> next = Set.copyOf(partitionIds);
    if (!next.equals(ownedPartitions)) {
      logger.atInfo().log(
          "partitions held generation=%d now=%s before=%s", generation, next, ownedPartitions);
      ownedPartitions = next;
      partitions.notifyChanged();
    }
  }
}
