package org.marigoldmill.server.batch;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.placement.EngineLoads;
import org.marigoldmill.core.placement.RunLengths;
import org.marigoldmill.core.supply.SlotTimes;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.RegionRules;
import org.marigoldmill.server.duty.EngineOrderLog;
import org.marigoldmill.server.duty.FleetLog;
import org.marigoldmill.server.gateway.Forwarder;
import org.marigoldmill.server.gateway.UpstreamSender;

/** Generation of the items of the models that this instance owns. */
public final class Rollouts {
  private final RolloutScheduler scheduler;
  private final WeightPlanner planner;
  private final EngineNeedPublisher needs;

  /**
   * Creates the scheduler and the planner of weights.
   *
   * @param executor runs one task for each attempt
   * @param upstreamsLost whether this instance reaches no upstream, and so starts nothing
   * @param zone availability zone of this instance
   */
  public Rollouts(
      DeploymentState deployment,
      RegionRules regions,
      SubmissionPartitions partitions,
      RolloutMembership membership,
      ModelEngineAllocator allocator,
      EngineVersions versions,
      UpstreamSender sender,
      Forwarder forwarder,
      EngineLimits limits,
      FleetLog fleet,
      EngineOrderLog engineOrders,
      TextLog texts,
      Executor executor,
      BooleanSupplier upstreamsLost,
      Metrics metrics,
      String zone,
      Clock clock) {
    EngineLoads loads = new EngineLoads();
    final RunLengths lengths = new RunLengths();
    final SlotTimes slotTimes = new SlotTimes();
    ItemRunner runner =
        new ItemRunner(
            deployment,
            regions,
            loads,
            lengths,
            slotTimes,
            versions,
            sender,
            forwarder,
            partitions,
            metrics,
            clock);
    this.scheduler =
        new RolloutScheduler(
            partitions,
            membership,
            allocator,
            deployment,
            regions,
            loads,
            lengths,
            limits,
            versions,
            runner,
            texts,
            executor,
            upstreamsLost,
            fleet,
            zone,
            clock);
    this.planner =
        new WeightPlanner(
            scheduler, membership, allocator, loads, versions, deployment, fleet, clock);
    this.needs =
        new EngineNeedPublisher(
            scheduler,
            membership,
            allocator,
            slotTimes,
            deployment,
            engineOrders,
            System::currentTimeMillis,
            clock);
  }

  /** Starts and moves items, then waits for a change; meant to be called in a loop. */
  public void scheduleOnce() {
    scheduler.scheduleOnce();
  }

  /** Requests the loads of weights that are due; meant to be called periodically. */
  public void planWeights() {
    planner.requestWantedLoads();
  }

  /** Stores what is new of the texts in progress; meant to be called periodically. */
  public void storeTexts() {
    scheduler.storeTexts();
  }

  /** Publishes how many engines the models need; meant to be called periodically. */
  public void publishEngineNeeds() {
    needs.publishDue();
  }

  /** Stops taking on items; returns the keys of those that this instance will still finish. */
  public List<String> startDraining() {
    return scheduler.startDraining();
  }

  /** Cancels all items. */
  public void cancelAll() {
    scheduler.cancelAll();
  }

  /** Returns whether this instance has models or items, and has read the partitions. */
  public boolean active() {
    return scheduler.active();
  }

  /** Returns the number of attempts in progress. */
  public int runningAttempts() {
    return scheduler.runningAttempts();
  }
}
