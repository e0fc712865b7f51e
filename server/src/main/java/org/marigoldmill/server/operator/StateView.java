package org.marigoldmill.server.operator;

import com.google.protobuf.MessageOrBuilder;
import java.util.Map;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.core.membership.MemberTable;
import org.marigoldmill.core.rollout.JobRollout;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.operator.ShownConfig;
import org.marigoldmill.schema.operator.ShownInstance;
import org.marigoldmill.schema.operator.ShownInstances;
import org.marigoldmill.schema.operator.ShownJob;
import org.marigoldmill.schema.operator.ShownJobs;
import org.marigoldmill.schema.operator.ShownLeases;
import org.marigoldmill.schema.operator.ShownUpstream;
import org.marigoldmill.schema.operator.ShownUpstreams;
import org.marigoldmill.schema.operator.ShownUsage;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.peer.Knowledge;
import org.marigoldmill.server.rollout.JobDirectory;
import org.marigoldmill.server.state.Instances;
import org.marigoldmill.server.state.SharedState;
import org.marigoldmill.server.usage.UsageLedger;

/** Builds the views of an entry instance's state that {@code marigoldmill show} prints. */
public record StateView(
    SharedState state,
    MemberTable members,
    Knowledge knowledge,
    JobDirectory jobs,
    UsageLedger ledger,
    Instances instances,
    UpstreamTable upstreams,
    Clock clock) {

  /**
   * Returns the view of a kind of state.
   *
   * @throws MarigoldmillException if {@link OperatorServer#kinds} does not list the kind
   */
  public MessageOrBuilder show(String kind) {
    return switch (kind) {
      case "config" -> config();
      case "instances" -> instanceStates();
      case "jobs" -> jobStates();
      case "leases" -> leases();
      case "usage" -> usage();
      case "upstreams" -> upstreamStates();
      default ->
          throw MarigoldmillException.of(
              ErrorKind.NOT_FOUND, "expected one of " + OperatorServer.kinds().keySet());
    };
  }

  private ShownConfig config() {
    Snapshot now = state.snapshot();
    return ShownConfig.newBuilder()
        .setRevision(now.getRevision())
        .setNextOffset(now.getNextOffset())
        .setDeclaration(now.getDeclaration())
        .addAllWithdrawn(state.withdrawn().stream().sorted().toList())
        .addAllConflicts(now.getConflictsList())
        .build();
  }

  private ShownInstances instanceStates() {
    ShownInstances.Builder shown = ShownInstances.newBuilder();
    long now = clock.now();
    members.members(now).forEach(m -> shown.addInstances(instance(m, now)));
    return shown.build();
  }

  private ShownInstance instance(MemberTable.Member member, long now) {
    String name = member.entry().getName();
    boolean self = name.equals(members.self().getName());
    return ShownInstance.newBuilder()
        .setName(name)
        .setZone(member.entry().getZone())
        .setStatus(member.status().name())
        .setRevision(self ? state.snapshot().getRevision() : knowledge.reportedRevision(name))
        .setHeartbeatAgeMs(members.heartbeatAgeMs(name, now))
        .build();
  }

  private ShownJobs jobStates() {
    ShownJobs.Builder shown = ShownJobs.newBuilder();
    jobs.runners().entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(e -> shown.addJobs(job(e.getKey(), e.getValue().rollout())));
    return shown.build();
  }

  private static ShownJob job(String name, JobRollout rollout) {
    JobRollout.Counts counts = rollout.counts();
    return ShownJob.newBuilder()
        .setName(name)
        .setStep(rollout.currentStep())
        .setTrainerVersion(rollout.trainerVersion())
        .setGroupsMissing(rollout.groupsMissing())
        .setFinished(counts.finished())
        .setFailed(counts.failed())
        .setStale(counts.stale())
        .build();
  }

  private ShownLeases leases() {
    return ShownLeases.newBuilder()
        .addAllLeases(state.snapshot().getLeasesList())
        .addAllIntents(state.snapshot().getIntentsList())
        .build();
  }

  private ShownUsage usage() {
    return ShownUsage.newBuilder()
        .addAllWindows(state.snapshot().getWindowsList())
        .addAllCounters(ledger.counters())
        .build();
  }

  private ShownUpstreams upstreamStates() {
    ShownUpstreams.Builder shown = ShownUpstreams.newBuilder();
    instances
        .upstreams()
        .forEach(
            i ->
                shown.addUpstreams(
                    ShownUpstream.newBuilder()
                        .setName(i.getName())
                        .setPool(i.getPool())
                        .setZone(i.getZone())
                        .setState(i.getState().name())
                        .setOutstanding(upstreams.outstanding(i.getName()))));
    return shown.build();
  }
}
