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

/** Runs one job: keeps engines at the trainer's version, generates, scores and answers draws. */
public final class JobRunner implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long PUMP_MS = 10;
  private static final long RETRY_PAUSE_MS = 50;
  private static final int TASKS_AT_ONCE = 256;
  private static final int OFFERS_REMEMBERED = 16_384;

  /** Keeps a finished group at a second process. */
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
  private final PeriodicTask pump;
  private final Set<String> billed = Collections.newSetFromMap(new LatestOffers());
  private int running;
  private volatile long lastDrawAt;
  private volatile boolean closed;

  /** Starts a runner. */
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
    this.pump = PeriodicTask.start(PUMP_MS, "job-" + job.getName(), this::pumpOnce);
  }

  /** Returns the declaration that the runner was started with. */
  public Job job() {
    return job;
  }

  /** Returns the state of the rollout. */
  public JobRollout rollout() {
    return rollout;
  }

  /** Returns when a trainer last drew. */
  public long lastDrawAt() {
    return lastDrawAt;
  }

  /** Takes in a draw's position; a first draw of a step also takes over what others hold. */
  synchronized void begin(DrawRequest draw, Supplier<List<HeldBatch>> heldElsewhere) {
    boolean first = rollout.currentStep() < 0;
    lastDrawAt = clock.now();
    rollout.applyDraw(draw);
    if (first) {
      heldElsewhere.get().forEach(rollout::restore);
    }
  }

  /** Waits for groups that the trainer has not taken. */
  DrawReply draw(DrawRequest draw) {
    long until = clock.now() + draw.getWaitMs();
    Optional<DrawReply> offer = awaitOffer(draw, until);
    offer.ifPresent(this::bill);
    return offer.orElseGet(() -> nothing(draw));
  }

  @Override
  public void close() {
    closed = true;
    pump.close();
    threads.shutdownNow();
  }

  private synchronized Optional<DrawReply> awaitOffer(DrawRequest draw, long until) {
    Optional<DrawReply> offer = rollout.replyTo(draw);
    try {
      while (offer.isEmpty() && clock.now() < until && !closed) {
        wait(RETRY_PAUSE_MS);
        offer = rollout.replyTo(draw);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return offer;
  }

  private DrawReply nothing(DrawRequest draw) {
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

  private void bill(DrawReply reply) {
    reply.getGroupsList().stream()
        .flatMap(g -> g.getSamplesList().stream())
        .filter(s -> firstOffer(s.getId()))
        .forEach(s -> ledger.add(job.getOrganisation(), 1, s.getTokensCount()));
  }

  private boolean firstOffer(String sampleId) {
    synchronized (billed) {
      return billed.add(sampleId);
    }
  }

  /** Samples offered lately; a repeated offer of one of them is not billed again. */
  private static final class LatestOffers extends LinkedHashMap<String, Boolean> {
    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
      return size() > OFFERS_REMEMBERED;
    }
  }

  private void pumpOnce() {
    if (rollout.currentStep() < 0) {
      return;
    }
    engines.switchTo(job, rollout.trainerVersion());
    int room;
    synchronized (this) {
      room = TASKS_AT_ONCE - running;
    }
    for (Task task : rollout.nextTasks(room)) {
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
    threads.execute(() -> generate(task, engine.get()));
  }

  private void generate(Task task, PlatformInstance engine) {
    try {
      Optional<Sample> sample = make(task, engine);
      if (sample.isEmpty()) {
        rollout.recordFailure(task);
        metrics.recordSamples(job.getName(), "failed", 1);
        Thread.sleep(RETRY_PAUSE_MS);
        return;
      }
      Optional<SampleGroup> whole = rollout.recordSample(task, sample.get());
      metrics.recordSamples(job.getName(), "finished", 1);
      whole.ifPresent(g -> replicator.send(job.getName(), task.step(), g));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      rollout.recordFailure(task);
      logger.atWarning().withCause(e).log("sample of %s", job.getName());
    } finally {
      ended();
    }
  }

  private Optional<Sample> make(Task task, PlatformInstance engine) {
    String prompt = "%s/%d/%d".formatted(job.getName(), task.step(), task.group());
    String id = rollout.sampleId(task);
    Optional<Sample.Builder> generated =
        engines.generate(engine, job, prompt, task.index(), () -> rollout.needed(task));
    return generated
        .flatMap(s -> scored(id, s))
        .map(
            s ->
                s.setId(id)
                    .setStep(task.step())
                    .setGroup(task.group())
                    .setIndex(task.index())
                    .setPrompt(prompt)
                    .build());
  }

  private Optional<Sample.Builder> scored(String id, Sample.Builder sample) {
    if (job.getScoring().isEmpty()) {
      return Optional.of(sample);
    }
    return engines.score(job, id, sample).map(sample::setScore);
  }

  private synchronized void ended() {
    running--;
    notifyAll();
  }
}
