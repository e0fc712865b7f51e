package org.marigoldmill.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.marigoldmill.schema.declaration.Job;
import org.marigoldmill.schema.peer.HeldBatch;
import org.marigoldmill.schema.upstream.DrawReply;
import org.marigoldmill.schema.upstream.DrawRequest;
import org.marigoldmill.schema.upstream.Sample;
import org.marigoldmill.schema.upstream.SampleGroup;
import org.marigoldmill.schema.upstream.VersionSpan;

/**
 * Generates and assembles the sample groups of a job's steps.
 *
 * <p>Every draw lists the groups that the trainer has taken, so a taken group is never offered
 * again, whichever process answers. A group that was offered but not taken is offered again
 * unchanged until one of its samples exceeds the staleness bound.
 */
public final class JobRollout {
  /** Number of steps generated ahead of the step that the trainer draws. */
  private static final int STEPS_AHEAD = 1;

  /**
   * A sample to generate.
   *
   * @param step step of the job
   * @param group number of the group within the step
   * @param index position of the sample within the group
   * @param attempt number that is unique among the tasks of this rollout
   * @param minVersion oldest version of the weights that may generate the sample
   */
  public record Task(long step, int group, int index, int attempt, long minVersion) {}

  /**
   * Counters of a rollout.
   *
   * @param finished samples that were fresh when they were recorded
   * @param failed tasks that failed
   * @param stale samples discarded because they exceeded the staleness bound
   * @param offered groups offered to the trainer, repeated offers included
   * @param taken groups that the trainer has taken
   */
  public record Counts(long finished, long failed, long stale, long offered, long taken) {}

  private static final class Group {
    private final Sample[] samples;
    private final boolean[] running;
    private long completionNumber = -1;

    private Group(int size) {
      samples = new Sample[size];
      running = new boolean[size];
    }

    private boolean complete() {
      return completionNumber >= 0;
    }
  }

  private static final class Step {
    private final TreeMap<Integer, Group> groups = new TreeMap<>();
    private final Set<Integer> taken = new HashSet<>();
  }

  private final Job job;
  private final String owner;
  private final TreeMap<Long, Step> steps = new TreeMap<>();
  private long currentStep = -1;
  private long trainerVersion;
  private long completions;
  private int attempts;
  private long finishedSamples;
  private long failedSamples;
  private long staleSamples;
  private long offeredGroups;
  private long takenGroups;

  private JobRollout(Job job, String owner) {
    this.job = job;
    this.owner = owner;
  }

  /**
   * Creates a rollout, which generates nothing before its first draw.
   *
   * @param job declaration of the job
   * @param owner identifier of this incarnation of the process; part of each sample's id
   * @return the rollout
   */
  public static JobRollout of(Job job, String owner) {
    return new JobRollout(job, owner);
  }

  /**
   * Updates the trainer's position from a draw, and discards steps and groups it no longer needs.
   *
   * <p>A trainer that has restarted from a checkpoint lists fewer taken groups than before, and
   * needs the others again.
   */
  public synchronized void applyDraw(DrawRequest draw) {
    trainerVersion = draw.getTrainerVersion();
    currentStep = draw.getStep();
    steps.keySet().removeIf(s -> s < currentStep || s > currentStep + STEPS_AHEAD);
    Step step = step(currentStep);
    step.taken.retainAll(draw.getTakenGroupsList());
    draw.getTakenGroupsList().stream().filter(step.taken::add).forEach(g -> removeTaken(step, g));
    discardStale();
  }

  /**
   * Returns the reply to a draw: the complete groups that the trainer has not taken, in order of
   * completion.
   *
   * @return the reply, or empty if there is no such group or the draw is for another step
   */
  public synchronized Optional<DrawReply> replyTo(DrawRequest draw) {
    if (draw.getStep() != currentStep) {
      return Optional.empty();
    }
    List<SampleGroup> available =
        completeGroups(currentStep).stream()
            .filter(g -> !draw.getTakenGroupsList().contains(g.getGroup()))
            .toList();
    if (available.isEmpty()) {
      return Optional.empty();
    }
    int limit = draw.getMaxGroups() == 0 ? available.size() : draw.getMaxGroups();
    List<SampleGroup> groups = available.stream().limit(limit).toList();
    offeredGroups += groups.size();
    return Optional.of(
        DrawReply.newBuilder()
            .setDrawId(draw.getDrawId())
            .setJob(job.getName())
            .setStep(currentStep)
            .addAllGroups(groups)
            .build());
  }

  /**
   * Returns the samples to generate next and marks them as running.
   *
   * @param limit maximum number of tasks
   * @return the tasks, those of the trainer's current step first
   */
  public synchronized List<Task> nextTasks(int limit) {
    if (currentStep < 0) {
      return List.of();
    }
    List<Task> tasks = new ArrayList<>();
    for (long s = currentStep; s <= currentStep + STEPS_AHEAD; s++) {
      addTasks(s, limit, tasks);
    }
    return tasks;
  }

  /** Returns whether the trainer still needs the sample of a task. */
  public synchronized boolean needed(Task task) {
    Step step = steps.get(task.step());
    return step != null && !step.taken.contains(task.group());
  }

  /**
   * Records the sample of a running task; a stale sample is discarded.
   *
   * @return the group if the sample completed it, otherwise empty
   */
  public synchronized Optional<SampleGroup> recordSample(Task task, Sample sample) {
    Optional<Group> group = runningGroup(task);
    if (group.isEmpty()) {
      return Optional.empty();
    }
    group.get().running[task.index()] = false;
    if (oldestVersion(sample) < minVersion(task.step())) {
      staleSamples++;
      return Optional.empty();
    }
    finishedSamples++;
    group.get().samples[task.index()] = sample;
    return completeGroup(task.group(), group.get());
  }

  /** Records that a task failed, so that its sample is generated again. */
  public synchronized void recordFailure(Task task) {
    runningGroup(task).ifPresent(g -> g.running[task.index()] = false);
    failedSamples++;
  }

  /** Adds complete groups that another process held, unless they are taken or stale. */
  public synchronized void restore(HeldBatch held) {
    Step step = steps.get(held.getStep());
    if (step == null) {
      return;
    }
    held.getGroupsList().stream()
        .filter(g -> !step.taken.contains(g.getGroup()))
        .filter(g -> g.getSamplesCount() == job.getGroupSize())
        .filter(g -> g.getSamplesList().stream().allMatch(s -> fresh(s, held.getStep())))
        .forEach(g -> restoreGroup(step, g));
  }

  /** Returns the id of the sample that a task generates. */
  public String sampleId(Task task) {
    return "%s/%d/%d/%d#%s.%d"
        .formatted(job.getName(), task.step(), task.group(), task.index(), owner, task.attempt());
  }

  /** Returns the counters. */
  public synchronized Counts counts() {
    return new Counts(finishedSamples, failedSamples, staleSamples, offeredGroups, takenGroups);
  }

  /** Returns the step that the trainer draws, or -1 before the first draw. */
  public synchronized long currentStep() {
    return currentStep;
  }

  /** Returns the version of the trainer's weights. */
  public synchronized long trainerVersion() {
    return trainerVersion;
  }

  /** Returns the number of groups of the current step that are neither taken nor complete. */
  public synchronized int groupsMissing() {
    return currentStep < 0
        ? 0
        : job.getGroupsPerStep()
            - step(currentStep).taken.size()
            - completeGroups(currentStep).size();
  }

  /** Returns the oldest version of the weights that generated part of a sample. */
  public static long oldestVersion(Sample sample) {
    return sample.getSpansList().stream()
        .mapToLong(VersionSpan::getVersion)
        .min()
        .orElse(Long.MIN_VALUE);
  }

  private void addTasks(long stepNumber, int limit, List<Task> tasks) {
    Step step = step(stepNumber);
    for (int g = 0; g < job.getGroupsPerStep() && tasks.size() < limit; g++) {
      if (step.taken.contains(g)) {
        continue;
      }
      Group group = step.groups.computeIfAbsent(g, n -> new Group(job.getGroupSize()));
      for (int i = 0; i < job.getGroupSize() && tasks.size() < limit; i++) {
        if (group.samples[i] == null && !group.running[i]) {
          group.running[i] = true;
          tasks.add(new Task(stepNumber, g, i, attempts++, minVersion(stepNumber)));
        }
      }
    }
  }

  private Optional<SampleGroup> completeGroup(int number, Group group) {
    if (IntStream.range(0, group.samples.length).anyMatch(i -> group.samples[i] == null)) {
      return Optional.empty();
    }
    group.completionNumber = completions++;
    return Optional.of(toMessage(number, group));
  }

  private List<SampleGroup> completeGroups(long stepNumber) {
    return step(stepNumber).groups.entrySet().stream()
        .filter(e -> e.getValue().complete())
        .sorted(Comparator.comparingLong(e -> e.getValue().completionNumber))
        .map(e -> toMessage(e.getKey(), e.getValue()))
        .toList();
  }

  private void discardStale() {
    steps.forEach(
        (number, step) -> step.groups.values().forEach(group -> discardStale(number, group)));
  }

  private void discardStale(long stepNumber, Group group) {
    for (int i = 0; i < group.samples.length; i++) {
      if (group.samples[i] != null && !fresh(group.samples[i], stepNumber)) {
        group.samples[i] = null;
        group.completionNumber = -1;
        staleSamples++;
      }
    }
  }

  private boolean fresh(Sample sample, long stepNumber) {
    return oldestVersion(sample) >= minVersion(stepNumber);
  }

  /** Returns the oldest usable version; the trainer gains at least one version with each step. */
  private long minVersion(long stepNumber) {
    return trainerVersion + (stepNumber - currentStep) - job.getStalenessBound();
  }

  private void restoreGroup(Step step, SampleGroup held) {
    Group group = step.groups.computeIfAbsent(held.getGroup(), n -> new Group(job.getGroupSize()));
    if (group.complete()) {
      return;
    }
    held.getSamplesList().forEach(s -> group.samples[s.getIndex()] = s);
    group.completionNumber = completions++;
  }

  private Optional<Group> runningGroup(Task task) {
    return Optional.ofNullable(steps.get(task.step()))
        .map(s -> s.groups.get(task.group()))
        .filter(g -> g.running[task.index()]);
  }

  private void removeTaken(Step step, int group) {
    takenGroups++;
    step.groups.remove(group);
  }

  private Step step(long number) {
    return steps.computeIfAbsent(number, n -> new Step());
  }

  private static SampleGroup toMessage(int number, Group group) {
    return SampleGroup.newBuilder().setGroup(number).addAllSamples(List.of(group.samples)).build();
  }
}
