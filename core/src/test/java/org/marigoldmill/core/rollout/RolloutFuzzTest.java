package org.marigoldmill.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.marigoldmill.core.rollout.JobRollout.Task;
import org.marigoldmill.schema.declaration.Job;
import org.marigoldmill.schema.peer.HeldBatch;
import org.marigoldmill.schema.upstream.DrawReply;
import org.marigoldmill.schema.upstream.DrawRequest;
import org.marigoldmill.schema.upstream.Sample;
import org.marigoldmill.schema.upstream.SampleGroup;
import org.marigoldmill.schema.upstream.VersionSpan;

/**
 * Runs two owners of one job with engines at different versions, lost replies, late results, owners
 * that restart at any time and a trainer that restarts from a checkpoint. Guards against a sample
 * that is filled twice or never, and against samples beyond the staleness bound.
 */
class RolloutFuzzTest {
  private static final int ACTIONS_PER_TRY = 700;
  private static final int TRIES = 25;
  private static final int FAULT_FREE_ROUNDS = 20;
  private static final int GROUPS = 5;
  private static final int GROUP_SIZE = 3;
  private static final int STALENESS_BOUND = 1;
  private static final Job JOB =
      Job.newBuilder()
          .setName("sheets")
          .setGroupsPerStep(GROUPS)
          .setGroupSize(GROUP_SIZE)
          .setStalenessBound(STALENESS_BOUND)
          .build();

  private record Running(int owner, JobRollout rollout, Task task, long version) {}

  /** Simulated trainer; records the samples received since its last restart as the oracle. */
  private static final class Trainer {
    private long step = 1;
    private long version = 1;
    private final Set<Integer> taken = new TreeSet<>();
    private final Map<Long, Set<String>> receivedSamples = new HashMap<>();
    private int delivered;

    private DrawRequest draw(Random random) {
      return DrawRequest.newBuilder()
          .setJob(JOB.getName())
          .setStep(step)
          .addAllTakenGroups(taken)
          .setTrainerVersion(version)
          .setDrawId(Long.toString(random.nextLong()))
          .build();
    }

    private void take(DrawRequest draw, DrawReply reply) {
      assertThat(reply.getDrawId()).isEqualTo(draw.getDrawId());
      for (SampleGroup group : reply.getGroupsList()) {
        assertThat(taken).as("groups taken of step %d", step).doesNotContain(group.getGroup());
        assertThat(group.getSamplesCount()).isEqualTo(GROUP_SIZE);
        group.getSamplesList().forEach(this::takeSample);
        taken.add(group.getGroup());
      }
      if (taken.size() == GROUPS) {
        assertThat(receivedSamples.get(step)).hasSize(GROUPS * GROUP_SIZE);
        step++;
        version++;
        taken.clear();
      }
    }

    private void takeSample(Sample sample) {
      String position = sample.getGroup() + "/" + sample.getIndex();
      assertThat(receivedSamples.computeIfAbsent(step, s -> new HashSet<>()).add(position))
          .as("sample %s of step %d is received once", position, step)
          .isTrue();
      assertThat(sample.getStep()).isEqualTo(step);
      assertThat(version - JobRollout.oldestVersion(sample))
          .as("age of %s", sample.getId())
          .isLessThanOrEqualTo(STALENESS_BOUND);
      delivered++;
    }

    private void restartFromCheckpoint(int steps) {
      step = Math.max(1, step - steps);
      taken.clear();
      receivedSamples.keySet().removeIf(s -> s >= step);
      version++;
    }
  }

  /** Simulation of two owners, either of which may answer any draw. */
  private static final class Simulation {
    private final Random random;
    private final JobRollout[] owners = new JobRollout[2];
    private final List<Running> running = new ArrayList<>();
    private final List<HeldBatch> held = new ArrayList<>();
    private final Trainer trainer = new Trainer();
    private int incarnations;

    private Simulation(long seed) {
      random = new Random(seed);
      restart(0);
      restart(1);
    }

    private void restart(int owner) {
      owners[owner] = JobRollout.of(JOB, "o" + owner + "#" + incarnations++);
      running.removeIf(r -> r.owner() == owner);
    }

    private void performRandomAction() {
      int owner = random.nextInt(10) == 0 ? 1 : 0;
      switch (random.nextInt(40)) {
        case 0 -> restart(owner);
        case 1 -> trainer.restartFromCheckpoint(random.nextInt(2));
        case 2, 3, 4, 5, 6, 7 -> start(owner);
        case 8, 9, 10, 11 -> draw(owner);
        default -> finishOne();
      }
    }

    /** Runs rounds in which nothing fails and engines have the trainer's version. */
    private void runWithoutFaults() {
      for (int i = 0; i < FAULT_FREE_ROUNDS; i++) {
        running.forEach(r -> r.rollout().recordFailure(r.task()));
        running.clear();
        for (Task task : owners[0].nextTasks(FAULT_FREE_ROUNDS)) {
          Running done = new Running(0, owners[0], task, trainer.version);
          owners[0].recordSample(task, sample(done));
        }
        DrawRequest draw = trainer.draw(random);
        owners[0].applyDraw(draw);
        owners[0].replyTo(draw).ifPresent(r -> trainer.take(draw, r));
      }
    }

    private void start(int owner) {
      for (Task task : owners[owner].nextTasks(4)) {
        long version = trainer.version + random.nextInt(3) - 2;
        running.add(new Running(owner, owners[owner], task, version));
      }
    }

    private void finishOne() {
      if (running.isEmpty()) {
        return;
      }
      Running done = running.remove(random.nextInt(running.size()));
      if (random.nextInt(8) == 0) {
        done.rollout().recordFailure(done.task());
        return;
      }
      Sample sample = sample(done);
      done.rollout()
          .recordSample(done.task(), sample)
          .filter(g -> random.nextInt(4) > 0)
          .ifPresent(g -> held.add(held(done.task().step(), g)));
      if (random.nextInt(6) == 0) {
        done.rollout().recordSample(done.task(), sample);
      }
    }

    private void draw(int owner) {
      DrawRequest draw = trainer.draw(random);
      boolean first = owners[owner].currentStep() < 0;
      owners[owner].applyDraw(draw);
      if (first) {
        held.forEach(owners[owner]::restore);
      }
      Optional<DrawReply> reply = owners[owner].replyTo(draw);
      boolean lost = random.nextInt(4) == 0;
      reply.filter(r -> !lost).ifPresent(r -> trainer.take(draw, r));
    }

    private Sample sample(Running done) {
      long nextVersion = done.version() + random.nextInt(2);
      return Sample.newBuilder()
          .setId(done.rollout().sampleId(done.task()))
          .setStep(done.task().step())
          .setGroup(done.task().group())
          .setIndex(done.task().index())
          .addSpans(VersionSpan.newBuilder().setTokens(2).setVersion(done.version()))
          .addSpans(VersionSpan.newBuilder().setFirstToken(2).setTokens(1).setVersion(nextVersion))
          .build();
    }

    private static HeldBatch held(long step, SampleGroup group) {
      return HeldBatch.newBuilder().setJob(JOB.getName()).setStep(step).addGroups(group).build();
    }
  }

  @Property(tries = TRIES, seed = "20261203")
  void should_fill_each_slot_once_when_owners_restart_and_replies_are_lost(
      @ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Simulation simulation = new Simulation(seed);
    // WHEN
    for (int i = 0; i < ACTIONS_PER_TRY; i++) {
      simulation.performRandomAction();
    }
    // THEN
    assertThat(simulation.trainer.delivered).as("samples delivered").isPositive();
    long stepReached = simulation.trainer.step;
    simulation.runWithoutFaults();
    assertThat(simulation.trainer.step)
        .as("step after rounds without faults")
        .isGreaterThan(stepReached + 1);
  }
}
