package org.marigoldmill.server;

import com.google.common.flogger.FluentLogger;
import org.marigoldmill.core.reachability.DutyHandover;
import org.marigoldmill.core.relay.RelayPeers;
import org.marigoldmill.server.batch.RolloutMembership;
import org.marigoldmill.server.batch.Rollouts;
import org.marigoldmill.server.batch.SubmissionPartitions;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.duty.DutyLeaseHolder;
import org.marigoldmill.server.reachability.UpstreamPathMonitor;
import org.marigoldmill.server.store.PartitionFollower;

/**
 * Whether an instance has or may get a duty, and how often it reads and acts because of that.
 *
 * <p>Only holders of partitions are candidates for the duty lease and for models. The partitions
 * limit their number, so that what all instances together read of the shared logs does not grow
 * with the number of instances times records. An instance that reaches no upstream hands its duties
 * over while another one does.
 */
final class DutyCandidacy {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long INTERVAL_MS = 50;
  private static final long IDLE_INTERVAL_MS = 500;
  private static final long USAGE_INTERVAL_MS = 100;
  private static final long IDLE_USAGE_INTERVAL_MS = 250;
  private static final long ENGINE_ORDERS_INTERVAL_MS = 250;
  private static final long FLEET_READ_PAUSE_MS = 100;
  private static final long ENGINE_READ_PAUSE_MS = 200;
  private static final long IDLE_ENGINE_READ_PAUSE_MS = 500;

  private final RolloutMembership membership;
  private final DutyLeaseHolder lease;
  private final Rollouts rollouts;
  private final SubmissionPartitions partitions;
  private final DeploymentState deployment;
  private final UpstreamPathMonitor path;
  private final RelayPeers peers;
  private final DutyHandover handover;
  private final Clock clock;
  private boolean resting;

  DutyCandidacy(
      RolloutMembership membership,
      DutyLeaseHolder lease,
      Rollouts rollouts,
      SubmissionPartitions partitions,
      DeploymentState deployment,
      UpstreamPathMonitor path,
      RelayPeers peers,
      Clock clock) {
    this.membership = membership;
    this.lease = lease;
    this.rollouts = rollouts;
    this.partitions = partitions;
    this.deployment = deployment;
    this.path = path;
    this.peers = peers;
    this.handover = new DutyHandover(clock.now());
    this.clock = clock;
  }

  /** Hands duties over, or stands for them again, if that is due; to be called periodically. */
  void handOverIfDue() {
    boolean rest = !handover.mayHold(path.isLost(), peers.anyReachesUpstreams(), clock.now());
    if (rest == resting) {
      return;
    }
    resting = rest;
    logger.atInfo().log("duties handed over=%s upstreams_lost=%s", rest, path.isLost());
    if (rest) {
      membership.rest();
      lease.release();
    } else {
      membership.resume();
      lease.resume();
    }
  }

  /** Reads a shared log while this instance is a candidate, else waits until it may be one. */
  void follow(PartitionFollower follower) throws InterruptedException {
    long changeCount = partitions.changeCount();
    if (isCandidate()) {
      follower.pollOnce();
    } else {
      follower.stopWatching();
      partitions.awaitChange(changeCount, IDLE_INTERVAL_MS);
    }
  }

  /**
   * Reads the log of ordered engines while this instance schedules items or holds the lease and
   * engines of a service may be ordered, else waits.
   */
  void followEngineOrders(PartitionFollower follower) throws InterruptedException {
    long changeCount = partitions.changeCount();
    if (mayOrderEngines()) {
      follower.pollOnce();
    } else {
      follower.stopWatching();
      partitions.awaitChange(changeCount, IDLE_INTERVAL_MS);
    }
  }

  /** Returns the interval between decisions on engines to order, in milliseconds. */
  long engineOrdersIntervalMs() {
    return isCandidate() ? ENGINE_ORDERS_INTERVAL_MS : IDLE_INTERVAL_MS;
  }

  /** Claims or renews the duty lease if this instance is a candidate and the claim is due. */
  void claimLeaseIfDue() {
    if (isCandidate()) {
      lease.claimIfDue();
    }
  }

  /** Returns the interval between checks for something to do as a candidate, in milliseconds. */
  long intervalMs() {
    return isCandidate() ? INTERVAL_MS : IDLE_INTERVAL_MS;
  }

  /** Returns the interval between checks for usage to publish or report, in milliseconds. */
  long usageIntervalMs() {
    return holdsLease() ? USAGE_INTERVAL_MS : IDLE_USAGE_INTERVAL_MS;
  }

  /** Returns the pause between reads of the fleet log, in milliseconds. */
  long fleetReadPauseMs() {
    return holdsLease() || rollouts.active() ? 0 : FLEET_READ_PAUSE_MS;
  }

  /** Returns the pause between reads of the engines, in milliseconds. */
  long engineReadPauseMs() {
    return isCandidate() ? ENGINE_READ_PAUSE_MS : IDLE_ENGINE_READ_PAUSE_MS;
  }

  private boolean mayOrderEngines() {
    return (holdsLease() || rollouts.active())
        && deployment
            .config()
            .filter(c -> c.services().stream().anyMatch(s -> s.autoscale().isPresent()))
            .isPresent();
  }

  private boolean isCandidate() {
    return membership.ownsAnyPartition() || holdsLease() || rollouts.active();
  }

  private boolean holdsLease() {
    return lease.remainsHeldFor(1);
  }
}
