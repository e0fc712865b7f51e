package org.marigoldmill.server.rollout;

import com.google.common.flogger.FluentLogger;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.marigoldmill.core.rollout.JobRollout;
import org.marigoldmill.core.rollout.JobRollout.Task;
import org.marigoldmill.schema.declaration.Job;
import org.marigoldmill.schema.peer.HeldBatch;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.schema.upstream.DrawReply;
import org.marigoldmill.schema.upstream.DrawRequest;
import org.marigoldmill.schema.upstream.Sample;
import org.marigoldmill.schema.upstream.SampleGroup;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.PeriodicTask;
import org.marigoldmill.server.usage.UsageLedger;

/** Runs one job: loads the trainer's version, generates and scores samples, answers draws. */
public final class JobRunner implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long SCHEDULE_INTERVAL_MS = 10;
  private static final long RETRY_PAUSE_MS = 50;
  private static final int MAX_RUNNING_TASKS = 256;
  private static final int MAX_BILLED_SAMPLE_IDS = 16_384;

  /** Replicates finished groups to a second process. */
  @FunctionalInterface
  public interface Replicator {
    /** Sends a group of a step. */
    void send(String job, long step, SampleGroup group);
  }

  private final Job job;
  private final JobRollout rollout;
  private final Engines engines;
  private final Replicator replicator;
  private final UsageLedger ledger;
  private final Metrics metrics;
  private final Clock clock;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final PeriodicTask scheduler;
  private final Set<String> billedSampleIds = Collections.newSetFromMap(new RecentSampleIds());
  private int running;
  private volatile long lastDrawAt;
  private volatile boolean closed;

  /** Starts the runner and its scheduler. */
  JobRunner(
      Job job,
      String owner,
      Engines engines,
      Replicator replicator,
      UsageLedger ledger,
      Metrics metrics,
      Clock clock) {
    this.job = job;
    this.rollout = JobRollout.of(job, owner);
    this.engines = engines;
    this.replicator = replicator;
    this.ledger = ledger;
    this.metrics = metrics;
    this.clock = clock;
    this.lastDrawAt = clock.now();
    this.scheduler =
        PeriodicTask.start(SCHEDULE_INTERVAL_MS, "job-" + job.getName(), this::scheduleTasks);
  }

  /** Returns the job declaration that the runner was started with. */
  public Job job() {
    return job;
  }

  /** Returns the state of the rollout. */
  public JobRollout rollout() {
    return rollout;
  }

  /** Returns the clock time of the last draw in milliseconds. */
  public long lastDrawAt() {
    return lastDrawAt;
  }

  /**
   * Updates the rollout to the step, trainer version and taken groups of a draw.
   *
   * @param draw the trainer's request for finished groups
   * @param replicas reads the step's replicated groups; called only for the runner's first draw
   */
  synchronized void applyDraw(DrawRequest draw, Supplier<List<HeldBatch>> replicas) {
    boolean first = rollout.currentStep() < 0;
    lastDrawAt = clock.now();
    rollout.applyDraw(draw);
    if (first) {
      replicas.get().forEach(rollout::restore);
    }
  }

  /** Waits up to the draw's limit for groups that the trainer has not taken. */
  DrawReply draw(DrawRequest draw) {
    long deadlineMs = clock.now() + draw.getWaitMs();
    Optional<DrawReply> reply = awaitReply(draw, deadlineMs);
    reply.ifPresent(this::recordUsage);
    return reply.orElseGet(() -> emptyReply(draw));
  }

  @Override
  public void close() {
    closed = true;
    scheduler.close();
    threads.shutdownNow();
  }

  private synchronized Optional<DrawReply> awaitReply(DrawRequest draw, long deadlineMs) {
    Optional<DrawReply> reply = rollout.replyTo(draw);
    try {
      while (reply.isEmpty() && clock.now() < deadlineMs && !closed) {
        wait(RETRY_PAUSE_MS);
        reply = rollout.replyTo(draw);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return reply;
  }

  private DrawReply emptyReply(DrawRequest draw) {
    String reason =
        "waits for %d groups from %d engines"
            .formatted(rollout.groupsMissing(), engines.usable(job).size());
    return DrawReply.newBuilder()
        .setDrawId(draw.getDrawId())
        .setJob(job.getName())
        .setStep(draw.getStep())
        .setReason(reason)
        .build();
  }

  private void recordUsage(DrawReply reply) {
    reply.getGroupsList().stream()
        .flatMap(g -> g.getSamplesList().stream())
        .filter(s -> markBilled(s.getId()))
        .forEach(s -> ledger.add(job.getOrganisation(), 1, s.getTokensCount()));
  }

  /** Marks a sample as billed; returns false if it already was. */
  private boolean markBilled(String sampleId) {
    synchronized (billedSampleIds) {
      return billedSampleIds.add(sampleId);
    }
  }

  /** Recently billed sample IDs, so that a sample in a repeated reply is not billed twice. */
  private static final class RecentSampleIds extends LinkedHashMap<String, Boolean> {
    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
      return size() > MAX_BILLED_SAMPLE_IDS;
    }
  }

  private void scheduleTasks() {
    if (rollout.currentStep() < 0) {
      return;
    }
    engines.requestWeightLoads(job, rollout.trainerVersion());
    int freeSlots;
    synchronized (this) {
      freeSlots = MAX_RUNNING_TASKS - running;
    }
    for (Task task : rollout.nextTasks(freeSlots)) {
      launch(task);
    }
  }

  private void launch(Task task) {
    Optional<PlatformInstance> engine = engines.acquire(job, task.minVersion());
    if (engine.isEmpty()) {
      rollout.recordFailure(task);
      return;
    }
    synchronized (this) {
      running++;
    }
    threads.execute(() -> runTask(task, engine.get()));
  }

  private void runTask(Task task, PlatformInstance engine) {
    try {
      Optional<Sample> sample = generateAndScore(task, engine);
      if (sample.isEmpty()) {
        rollout.recordFailure(task);
        metrics.recordSamples(job.getName(), "failed", 1);
        Thread.sleep(RETRY_PAUSE_MS);
        return;
      }
      Optional<SampleGroup> completed = rollout.recordSample(task, sample.get());
      metrics.recordSamples(job.getName(), "finished", 1);
      completed.ifPresent(g -> replicator.send(job.getName(), task.step(), g));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      rollout.recordFailure(task);
      logger.atWarning().withCause(e).log(
          "sample of job %s failed, will be retried", job.getName());
    } finally {
      releaseSlot();
    }
  }

  private Optional<Sample> generateAndScore(Task task, PlatformInstance engine) {
    String prompt = "%s/%d/%d".formatted(job.getName(), task.step(), task.group());
    String id = rollout.sampleId(task);
    Optional<Sample.Builder> generated =
        engines.generate(engine, job, prompt, task.index(), () -> rollout.needed(task));
    return generated
        .flatMap(s -> withScore(id, s))
        .map(
            s ->
                s.setId(id)
                    .setStep(task.step())
                    .setGroup(task.group())
                    .setIndex(task.index())
                    .setPrompt(prompt)
                    .build());
  }

  private Optional<Sample.Builder> withScore(String id, Sample.Builder sample) {
    if (job.getScoring().isEmpty()) {
      return Optional.of(sample);
    }
    return engines.score(job, id, sample).map(sample::setScore);
  }

  private synchronized void releaseSlot() {
    running--;
    notifyAll();
  }
}
