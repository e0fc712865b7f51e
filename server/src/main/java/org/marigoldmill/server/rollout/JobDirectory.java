package org.marigoldmill.server.rollout;

import com.google.common.flogger.FluentLogger;
import io.grpc.StatusRuntimeException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.core.membership.MemberTable;
import org.marigoldmill.core.membership.RendezvousHash;
import org.marigoldmill.schema.declaration.Job;
import org.marigoldmill.schema.peer.HeldBatch;
import org.marigoldmill.schema.peer.HeldRequest;
import org.marigoldmill.schema.peer.MemberEntry;
import org.marigoldmill.schema.peer.PeerGrpc;
import org.marigoldmill.schema.upstream.DrawReply;
import org.marigoldmill.schema.upstream.DrawRequest;
import org.marigoldmill.schema.upstream.SampleGroup;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.peer.PeerClient;
import org.marigoldmill.server.state.Instances;
import org.marigoldmill.server.state.SharedState;

/**
 * Routes draws to the owner of each job and holds the runners of this process.
 *
 * <p>The owner is the live member ranked first by rendezvous hashing. Two concurrent owners of a
 * job are harmless, because the position in the trainer's draw decides what it still needs.
 */
public final class JobDirectory implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long FORWARD_MARGIN_MS = 1_000;
  private static final long REPLICA_DEADLINE_MS = 1_000;
  private static final long IDLE_TIMEOUT_MS = 20_000;
  private static final int MAX_OWNERS_TRIED = 2;

  private final SharedState state;
  private final MemberTable members;
  private final PeerClient peers;
  private final Instances instances;
  private final Clock clock;
  private final Function<Job, JobRunner> runnerFactory;
  private final Map<String, JobRunner> runners = new ConcurrentHashMap<>();
  private final GroupReplicas replicas = new GroupReplicas();

  /** Creates a directory that starts runners with the given factory. */
  public JobDirectory(
      SharedState state,
      MemberTable members,
      PeerClient peers,
      Instances instances,
      Clock clock,
      Function<Job, JobRunner> runnerFactory) {
    this.state = state;
    this.members = members;
    this.peers = peers;
    this.instances = instances;
    this.clock = clock;
    this.runnerFactory = runnerFactory;
  }

  /** Answers a draw at the owner of the job, or here if no owner responds. */
  public DrawReply draw(DrawRequest draw) {
    List<MemberEntry> owners = RendezvousHash.rank(draw.getJob(), members.live(clock.now()));
    for (MemberEntry owner : owners.subList(0, Math.min(MAX_OWNERS_TRIED, owners.size()))) {
      if (owner.getName().equals(members.self().getName())) {
        break;
      }
      Optional<DrawReply> reply = forward(owner, draw);
      if (reply.isPresent()) {
        return reply.get();
      }
    }
    return drawLocally(draw);
  }

  /** Answers a draw with this process's runner of the job, starting it if necessary. */
  public DrawReply drawLocally(DrawRequest draw) {
    Job job = state.config().jobs().get(draw.getJob());
    if (job == null) {
      throw MarigoldmillException.of(
          ErrorKind.NOT_FOUND, "job " + draw.getJob() + " is not in the declaration in force");
    }
    replicas.discardBefore(draw);
    JobRunner runner =
        runners.compute(job.getName(), (name, existing) -> reuseOrReplace(job, existing));
    runner.applyDraw(draw, () -> collectReplicas(draw));
    return runner.draw(draw);
  }

  /** Stores replicas of finished groups for the owner of their job. */
  public void storeReplicas(HeldBatch batch) {
    replicas.add(batch);
  }

  /** Returns the replicas that this process stores of a step's groups. */
  public HeldBatch replicas(HeldRequest request) {
    return replicas.get(request.getJob(), request.getStep());
  }

  /** Sends a finished group to the highest-ranked other member, which would take the job over. */
  public void replicate(String job, long step, SampleGroup group) {
    HeldBatch batch = HeldBatch.newBuilder().setJob(job).setStep(step).addGroups(group).build();
    RendezvousHash.rank(job, members.live(clock.now())).stream()
        .filter(m -> !m.getName().equals(members.self().getName()))
        .findFirst()
        .ifPresent(m -> sendReplicas(m, batch));
  }

  /** Stops runners without a draw for 20 s. */
  public void stopIdleRunners() {
    runners
        .values()
        .removeIf(
            runner -> {
              boolean idle = clock.now() - runner.lastDrawAt() > IDLE_TIMEOUT_MS;
              if (idle) {
                runner.close();
              }
              return idle;
            });
  }

  /** Returns the runners of this process by job name. */
  public Map<String, JobRunner> runners() {
    return Map.copyOf(runners);
  }

  @Override
  public void close() {
    runners.values().forEach(JobRunner::close);
  }

  private JobRunner reuseOrReplace(Job job, JobRunner existing) {
    if (existing != null && existing.job().equals(job)) {
      return existing;
    }
    if (existing != null) {
      existing.close();
    }
    return runnerFactory.apply(job);
  }

  private Optional<DrawReply> forward(MemberEntry owner, DrawRequest draw) {
    try {
      long deadline = draw.getWaitMs() + FORWARD_MARGIN_MS;
      return Optional.of(stub(owner, deadline).draw(draw));
    } catch (StatusRuntimeException e) {
      logger.atInfo().log(
          "draw of job %s at owner %s failed, trying the next candidate: %s",
          draw.getJob(), owner.getName(), e.getStatus());
      return Optional.empty();
    }
  }

  private List<HeldBatch> collectReplicas(DrawRequest draw) {
    HeldRequest request =
        HeldRequest.newBuilder().setJob(draw.getJob()).setStep(draw.getStep()).build();
    List<HeldBatch> batches = new ArrayList<>(List.of(replicas(request)));
    members.members(clock.now()).stream()
        .map(MemberTable.Member::entry)
        .filter(m -> !m.getName().equals(members.self().getName()))
        .parallel()
        .flatMap(m -> fetchReplicas(m, request).stream())
        .forEachOrdered(batches::add);
    return batches;
  }

  private Optional<HeldBatch> fetchReplicas(MemberEntry member, HeldRequest request) {
    try {
      return Optional.of(stub(member, REPLICA_DEADLINE_MS).fetchHeld(request));
    } catch (StatusRuntimeException e) {
      return Optional.empty();
    }
  }

  private void sendReplicas(MemberEntry member, HeldBatch batch) {
    try {
      var unused = stub(member, REPLICA_DEADLINE_MS).hold(batch);
    } catch (StatusRuntimeException e) {
      logger.atFine().log(
          "replication of groups to %s failed: %s", member.getName(), e.getStatus());
    }
  }

  private PeerGrpc.PeerBlockingStub stub(MemberEntry member, long deadlineMs) {
    return peers.to(instances.addressOf(member.getName(), member.getAddress()), deadlineMs);
  }
}
