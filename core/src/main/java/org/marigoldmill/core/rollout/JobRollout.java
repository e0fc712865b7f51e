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
 * Assembles the steps of one job.
 *
 * <p>The trainer names the groups that it has taken in every draw, so a group that it has taken is
 * never offered again, whichever process answers. A group that was offered but not taken is offered
 * again unchanged for as long as it is fresh.
 */
public final class JobRollout {
  private static final int STEPS_AHEAD = 1;

  /** One sample to generate. */
  public record Task(long step, int group, int index, int attempt, long minVersion) {}

  /** Counts of what became of generated samples. */
  public record Counts(long finished, long failed, long stale, long offered, long taken) {}

  private static final class Group {
    private final Sample[] samples;
    private final boolean[] running;
    private long completedAs = -1;

    private Group(int size) {
      samples = new Sample[size];
      running = new boolean[size];
    }

    private boolean complete() {
      return completedAs >= 0;
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
   * Starts a rollout that waits for its first draw.
   *
   * @param job declared job
   * @param owner this process, different in each of its lives; part of each sample's identity
   * @return the rollout
   */
  public static JobRollout of(Job job, String owner) {
    return new JobRollout(job, owner);
  }

  /**
   * Takes in the position that a draw carries, and drops what the trainer is past.
   *
   * <p>A trainer that went back to a checkpoint names fewer groups than before, and needs the
   * others again.
   */
  public synchronized void applyDraw(DrawRequest draw) {
    trainerVersion = draw.getTrainerVersion();
    currentStep = draw.getStep();
    steps.keySet().removeIf(s -> s < currentStep || s > currentStep + STEPS_AHEAD);
    Step step = step(currentStep);
    step.taken.retainAll(draw.getTakenGroupsList());
    draw.getTakenGroupsList().stream().filter(step.taken::add).forEach(g -> drop(step, g));
    discardStale();
  }

  /** Returns the finished groups that the trainer has not taken, in order of completion. */
  public synchronized Optional<DrawReply> offer(DrawRequest draw) {
    if (draw.getStep() != currentStep) {
      return Optional.empty();
    }
    List<SampleGroup> ready =
        ready(currentStep).stream()
            .filter(g -> !draw.getTakenGroupsList().contains(g.getGroup()))
            .toList();
    if (ready.isEmpty()) {
      return Optional.empty();
    }
    int limit = draw.getMaxGroups() == 0 ? ready.size() : draw.getMaxGroups();
    List<SampleGroup> groups = ready.stream().limit(limit).toList();
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
   * Returns samples to generate next and counts them as running.
   *
   * @param room most samples to return
   * @return tasks, those of the trainer's present step first
   */
  public synchronized List<Task> nextTasks(int room) {
    if (currentStep < 0) {
      return List.of();
    }
    List<Task> tasks = new ArrayList<>();
    for (long s = currentStep; s <= currentStep + STEPS_AHEAD; s++) {
      addTasks(s, room, tasks);
    }
    return tasks;
  }

  /** Returns whether the result of a task would still be of use. */
  public synchronized boolean needed(Task task) {
    Step step = steps.get(task.step());
    return step != null && !step.taken.contains(task.group());
  }

  /**
   * Takes in a finished sample.
   *
   * @return the group, when the sample completed it
   */
  public synchronized Optional<SampleGroup> recordSample(Task task, Sample sample) {
    Optional<Group> group = running(task);
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
    return completed(task.group(), group.get());
  }

  /** Frees the slot of a task that failed. */
  public synchronized void recordFailure(Task task) {
    running(task).ifPresent(g -> g.running[task.index()] = false);
    failedSamples++;
  }

  /** Takes over finished groups that another process held. */
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

  /** Returns the identity of the sample that a task makes. */
  public String sampleId(Task task) {
    return "%s/%d/%d/%d#%s.%d"
        .formatted(job.getName(), task.step(), task.group(), task.index(), owner, task.attempt());
  }

  /** Returns the counts so far. */
  public synchronized Counts counts() {
    return new Counts(finishedSamples, failedSamples, staleSamples, offeredGroups, takenGroups);
  }

  /** Returns the step that the trainer draws. */
  public synchronized long currentStep() {
    return currentStep;
  }

  /** Returns the version that the trainer holds. */
  public synchronized long trainerVersion() {
    return trainerVersion;
  }

  /** Returns how many groups of the present step are still to come. */
  public synchronized int groupsMissing() {
    return currentStep < 0
        ? 0
        : job.getGroupsPerStep() - step(currentStep).taken.size() - ready(currentStep).size();
  }

  /** Returns the oldest version in a sample. */
  public static long oldestVersion(Sample sample) {
    return sample.getSpansList().stream()
        .mapToLong(VersionSpan::getVersion)
        .min()
        .orElse(Long.MIN_VALUE);
  }

  private void addTasks(long stepNumber, int room, List<Task> tasks) {
    Step step = step(stepNumber);
    for (int g = 0; g < job.getGroupsPerStep() && tasks.size() < room; g++) {
      if (step.taken.contains(g)) {
        continue;
      }
      Group group = step.groups.computeIfAbsent(g, n -> new Group(job.getGroupSize()));
      for (int i = 0; i < job.getGroupSize() && tasks.size() < room; i++) {
        if (group.samples[i] == null && !group.running[i]) {
          group.running[i] = true;
          tasks.add(new Task(stepNumber, g, i, attempts++, minVersion(stepNumber)));
        }
      }
    }
  }

  private Optional<SampleGroup> completed(int number, Group group) {
    if (IntStream.range(0, group.samples.length).anyMatch(i -> group.samples[i] == null)) {
      return Optional.empty();
    }
    group.completedAs = completions++;
    return Optional.of(toMessage(number, group));
  }

  private List<SampleGroup> ready(long stepNumber) {
    return step(stepNumber).groups.entrySet().stream()
        .filter(e -> e.getValue().complete())
        .sorted(Comparator.comparingLong(e -> e.getValue().completedAs))
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
        group.completedAs = -1;
        staleSamples++;
      }
    }
  }

  private boolean fresh(Sample sample, long stepNumber) {
    return oldestVersion(sample) >= minVersion(stepNumber);
  }

  /** A later step will be drawn with at least one version more for each step in between. */
  private long minVersion(long stepNumber) {
    return trainerVersion + (stepNumber - currentStep) - job.getStalenessBound();
  }

  private void restoreGroup(Step step, SampleGroup held) {
    Group group = step.groups.computeIfAbsent(held.getGroup(), n -> new Group(job.getGroupSize()));
    if (group.complete()) {
      return;
    }
    held.getSamplesList().forEach(s -> group.samples[s.getIndex()] = s);
    group.completedAs = completions++;
  }

  private Optional<Group> running(Task task) {
    return Optional.ofNullable(steps.get(task.step()))
        .map(s -> s.groups.get(task.group()))
        .filter(g -> g.running[task.index()]);
  }

  private void drop(Step step, int group) {
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
