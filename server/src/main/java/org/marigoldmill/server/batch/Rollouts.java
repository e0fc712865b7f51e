package org.marigoldmill.server.batch;

import java.util.List;
import java.util.concurrent.Executor;
import org.marigoldmill.core.placement.EngineLoads;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.duty.FleetLog;
import org.marigoldmill.server.gateway.Forwarder;
import org.marigoldmill.server.gateway.UpstreamSender;

/** Generation of the items that this instance is in charge of. */
public final class Rollouts {
  private final RolloutScheduler scheduler;
  private final WeightPlanner planner;

  /** Creates the generation over its parts; attempts run on an executor. */
  public Rollouts(
      DeploymentState deployment,
      SubmissionPartitions partitions,
      RolloutMembership membership,
      ModelEngineAllocator shares,
      EngineVersions versions,
      UpstreamSender sender,
      Forwarder forwarder,
      FleetLog fleet,
      Executor executor,
      Metrics metrics,
      String zone,
      Clock clock) {
    EngineLoads loads = new EngineLoads();
    ItemRunner runner =
        new ItemRunner(deployment, loads, versions, sender, forwarder, partitions, metrics, clock);
    this.scheduler =
        new RolloutScheduler(
            partitions, membership, shares, loads, versions, runner, executor, fleet, zone, clock);
    this.planner =
        new WeightPlanner(scheduler, membership, shares, loads, versions, deployment, fleet, clock);
  }

  /** Starts what can start; one round of a duty. */
  public void runRound() {
    scheduler.runRound();
  }

  /** Asks for the weights that are wanted; one round of a duty. */
  public void planWeights() {
    planner.runRound();
  }

  /** Starts no more items; returns those that have begun and go on here. */
  public List<String> startDraining() {
    return scheduler.startDraining();
  }

  /** Cuts all attempts. */
  public void cancelAll() {
    scheduler.cancelAll();
  }

  /** Returns the attempts in progress. */
  public int runningAttempts() {
    return scheduler.runningAttempts();
  }
}
