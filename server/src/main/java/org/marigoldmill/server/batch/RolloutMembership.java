package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Set;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.StoreUnavailableException;

/**
 * Which models this instance generates for.
 *
 * <p>The store shares partitions out among the members of a group. Who holds the partition of a
 * model's name runs its items. Two holders for a while only do work twice, since results are stored
 * on condition; so a holder that cannot reach the store goes on.
 */
public final class RolloutMembership {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String GROUP = "rollouts";

  private final LogStore store;
  private final String member;
  private final long ttlMs;
  private final SubmissionPartitions partitions;
  private volatile Set<Integer> owned = Set.of();
  private volatile boolean left;
  private long generation;

  /** Creates the membership of one process. */
  public RolloutMembership(
      LogStore store, String member, long ttlMs, SubmissionPartitions partitions) {
    this.store = store;
    this.member = member;
    this.ttlMs = ttlMs;
    this.partitions = partitions;
  }

  /** Joins or stays in the group; one round of a duty. */
  public void runRound() {
    if (left) {
      return;
    }
    try {
      LogStore.Membership now =
          store.join(GROUP, member, SubmissionPartitions.TOPIC, ttlMs, generation);
      generation = now.generation();
      take(now.partitions());
    } catch (StoreUnavailableException e) {
      logger.atFine().log("group not reached: %s", e.getMessage());
    }
  }

  /** Gives all partitions up. */
  public void leave() {
    left = true;
    take(List.of());
    store.leave(GROUP, member);
  }

  /** Returns whether this instance generates for a model. */
  public boolean ownsModel(String model) {
    return owned.contains(partitions.partitionOf(model));
  }

  /** Returns whether this instance holds a partition. */
  public boolean ownsPartition(int partition) {
    return owned.contains(partition);
  }

  private void take(List<Integer> held) {
    Set<Integer> next = Set.copyOf(held);
    if (!next.equals(owned)) {
      logger.atInfo().log(
          "partitions held generation=%d now=%s before=%s", generation, next, owned);
      owned = next;
      partitions.notifyChanged();
    }
  }
}
