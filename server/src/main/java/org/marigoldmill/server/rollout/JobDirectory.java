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
 * Finds the owner of each job and keeps the jobs that this process runs.
 *
 * <p>The owner is the live member that rendezvous hashing prefers. Two processes that both take a
 * job on do no harm, because the trainer's own position decides what it still needs.
 */
public final class JobDirectory implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long FORWARD_MARGIN_MS = 1_000;
  private static final long HOLD_DEADLINE_MS = 1_000;
  private static final long IDLE_MS = 20_000;
  private static final int OWNERS_TRIED = 2;

  private final SharedState state;
  private final MemberTable members;
  private final PeerClient peers;
  private final Instances instances;
  private final Clock clock;
  private final Function<Job, JobRunner> start;
  private final Map<String, JobRunner> runners = new ConcurrentHashMap<>();
  private final HeldGroups held = new HeldGroups();

  /** Creates a directory that starts runners by a function. */
  public JobDirectory(
      SharedState state,
      MemberTable members,
      PeerClient peers,
      Instances instances,
      Clock clock,
      Function<Job, JobRunner> start) {
    this.state = state;
    this.members = members;
    this.peers = peers;
    this.instances = instances;
    this.clock = clock;
    this.start = start;
  }

  /** Answers a draw here or at the owner of the job. */
  public DrawReply draw(DrawRequest draw) {
    List<MemberEntry> owners = RendezvousHash.rank(draw.getJob(), members.live(clock.now()));
    for (MemberEntry owner : owners.subList(0, Math.min(OWNERS_TRIED, owners.size()))) {
      if (owner.getName().equals(members.self().getName())) {
        break;
      }
      Optional<DrawReply> reply = forward(owner, draw);
      if (reply.isPresent()) {
        return reply.get();
      }
    }
    return drawHere(draw);
  }

  /** Answers a draw by this process's own runner of the job. */
  public DrawReply drawHere(DrawRequest draw) {
    Job job = state.config().jobs().get(draw.getJob());
    if (job == null) {
      throw MarigoldmillException.of(ErrorKind.NOT_FOUND, "job " + draw.getJob());
    }
    held.forget(draw);
    JobRunner runner = runners.compute(job.getName(), (name, known) -> current(job, known));
    runner.begin(draw, () -> collect(draw));
    return runner.draw(draw);
  }

  /** Keeps finished groups for their owner. */
  public void hold(HeldBatch batch) {
    held.add(batch);
  }

  /** Returns the groups of a step that are kept here. */
  public HeldBatch held(HeldRequest request) {
    return held.get(request.getJob(), request.getStep());
  }

  /** Gives finished groups to the next process in order, which would take the job over. */
  public void replicate(String job, long step, SampleGroup group) {
    HeldBatch batch = HeldBatch.newBuilder().setJob(job).setStep(step).addGroups(group).build();
    RendezvousHash.rank(job, members.live(clock.now())).stream()
        .filter(m -> !m.getName().equals(members.self().getName()))
        .findFirst()
        .ifPresent(m -> sendHeld(m, batch));
  }

  /** Stops runners that no trainer has drawn from for a while. */
  public void runRound() {
    runners
        .values()
        .removeIf(
            runner -> {
              boolean idle = clock.now() - runner.lastDrawAt() > IDLE_MS;
              if (idle) {
                runner.close();
              }
              return idle;
            });
  }

  /** Returns the runners of this process by job. */
  public Map<String, JobRunner> runners() {
    return Map.copyOf(runners);
  }

  @Override
  public void close() {
    runners.values().forEach(JobRunner::close);
  }

  private JobRunner current(Job job, JobRunner known) {
    if (known != null && known.job().equals(job)) {
      return known;
    }
    if (known != null) {
      known.close();
    }
    return start.apply(job);
  }

  private Optional<DrawReply> forward(MemberEntry owner, DrawRequest draw) {
    try {
      long deadline = draw.getWaitMs() + FORWARD_MARGIN_MS;
      return Optional.of(to(owner, deadline).draw(draw));
    } catch (StatusRuntimeException e) {
      logger.atInfo().log("draw of %s at %s: %s", draw.getJob(), owner.getName(), e.getStatus());
      return Optional.empty();
    }
  }

  private List<HeldBatch> collect(DrawRequest draw) {
    HeldRequest request =
        HeldRequest.newBuilder().setJob(draw.getJob()).setStep(draw.getStep()).build();
    List<HeldBatch> batches = new ArrayList<>(List.of(held(request)));
    members.members(clock.now()).stream()
        .map(MemberTable.Member::entry)
        .filter(m -> !m.getName().equals(members.self().getName()))
        .parallel()
        .flatMap(m -> fetchHeld(m, request).stream())
        .forEachOrdered(batches::add);
    return batches;
  }

  private Optional<HeldBatch> fetchHeld(MemberEntry member, HeldRequest request) {
    try {
      return Optional.of(to(member, HOLD_DEADLINE_MS).fetchHeld(request));
    } catch (StatusRuntimeException e) {
      return Optional.empty();
    }
  }

  private void sendHeld(MemberEntry member, HeldBatch batch) {
    try {
      var unused = to(member, HOLD_DEADLINE_MS).hold(batch);
    } catch (StatusRuntimeException e) {
      logger.atFine().log("hold at %s: %s", member.getName(), e.getStatus());
    }
  }

  private PeerGrpc.PeerBlockingStub to(MemberEntry member, long deadlineMs) {
    return peers.to(instances.addressOf(member.getName(), member.getAddress()), deadlineMs);
  }
}
