package org.marigoldmill.cli.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.marigoldmill.cli.deployment.StoreStandin;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.cli.process.Relay;
import org.marigoldmill.cli.soak.SoakLog.Violation;
import org.marigoldmill.cli.soak.SoakSchedule.Action;
import org.marigoldmill.cli.soak.SoakSchedule.Step;

/**
 * One run: instances in separate processes, their stand-ins, callers, and a schedule of faults.
 *
 * <pre>{@code
 * List<Violation> broken = SoakRun.play(7, 4, 20_000, SoakSchedule.Scope.FAULTS);
 * }</pre>
 */
final class SoakRun implements AutoCloseable {
  /** Time after the last fault in which the service must have recovered ({@code recover_s}). */
  private static final long RECOVER_MS = 12_000;

  /** Time after the end of traffic in which submissions must be done ({@code finish_s}). */
  private static final long FINISH_MS = 10_000;

  private static final long START_TIMEOUT_MS = 120_000;
  private static final long STEP_TIMEOUT_MS = 60_000;
  private static final int STORE_WORKERS_PER_INSTANCE = 64;
  private static final int REUSING_CALLERS = 120;
  private static final int BUSY_CALLERS = 8;
  private static final int NEW_CONNECTION_CALLERS = 12;
  private static final int READERS = 6;

  /** Idle times of callers; four fifths of the configured idle timeout are 8,000 ms. */
  private static final int MAX_IDLE_MS = 6_000;

  private static final int MAX_BUSY_IDLE_MS = 150;
  private static final int MAX_NEW_CONNECTION_IDLE_MS = 400;
  private static final int SUBMIT_PAUSE_MS = 2_500;
  private static final int MAX_READ_PAUSE_MS = 300;
  private static final int PROBE_PAUSE_MS = 60;
  private static final int THREAD_STACK_BYTES = 256 * 1024;
  private static final long SLOW_STORE_MS = 300;
  private static final long SLOW_LINK_MS = 100;

  /** Time in which the builds serve beside each other between two replacements. */
  private static final long REPLACE_PAUSE_MS = 2_000;

  private static final int MAX_SERIES_SPACING_MS = 100;

  private final long seed;
  private final SoakLog log;
  private final Disturbances disturbances;
  private final StoreStandin store;
  private final Upstreams upstreams;
  private final ConfigHistory config;
  private final List<SoakInstance> instances;
  private final LoadBalancer balancer;
  private final Traffic traffic;
  private final Submissions submissions;
  private final ExecutorService callers = pool("caller");
  private final ExecutorService trainers = pool("trainer");
  private final ExecutorService steps = pool("step");
  private final Map<Action, Consumer<Step>> actions = new EnumMap<>(Action.class);
  private int nextStream;

  private SoakRun(long seed, IntFunction<String> binaries, int count, Path directory) {
    this.seed = seed;
    log = new SoakLog(directory);
    disturbances = new Disturbances(log);
    store = new StoreStandin(STORE_WORKERS_PER_INSTANCE * count);
    upstreams = new Upstreams(store, log, Math.max(3, count / 4));
    config = new ConfigHistory(store, disturbances, log, new Random(seed));
    instances =
        IntStream.range(0, count)
            .mapToObj(
                i ->
                    new SoakInstance(
                        binaries.apply(i), "i" + i, directory, store.address(), disturbances, log))
            .toList();
    balancer = new LoadBalancer(instances, log);
    traffic = new Traffic(balancer, upstreams, disturbances, config, log);
    submissions = new Submissions(balancer, upstreams, disturbances, log);
    definePlannedWork();
    defineFaults();
  }

  /**
   * Plays a run and returns the promises that it broke.
   *
   * @param binaries returns the binary that an instance runs
   * @param lengthMs length of the schedule
   */
  static List<Violation> play(
      long seed,
      IntFunction<String> binaries,
      int instances,
      long lengthMs,
      SoakSchedule.Scope scope,
      Path directory) {
    createEmpty(directory);
    try (SoakRun run = new SoakRun(seed, binaries, instances, directory)) {
      run.start();
      run.play(SoakSchedule.draw(seed, instances, lengthMs, scope));
      run.finish();
      return run.log.violations();
    }
  }

  /**
   * Replaces all instances of one build in turn by those of another, and back, and returns the
   * promises that broke.
   */
  static List<Violation> replaceInTurn(
      long seed, String from, String to, int instances, Path directory) {
    createEmpty(directory);
    try (SoakRun run = new SoakRun(seed, i -> from, instances, directory)) {
      run.start();
      run.replaceAllBy(to);
      run.replaceAllBy(from);
      run.finish();
      return run.log.violations();
    }
  }

  private void replaceAllBy(String binary) {
    for (SoakInstance instance : instances) {
      sleep(REPLACE_PAUSE_MS);
      log.event("replace %s by %s", instance.name(), binary);
      instance.replaceBy(binary);
      ProcessCluster.await(
          "replaced instance in rotation",
          START_TIMEOUT_MS,
          () -> instance.hasBeenReady() && balancer.isInRotation(instance));
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Removes the logs of an earlier run. */
  private static void createEmpty(Path directory) {
    try {
      Files.createDirectories(directory);
      try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
        for (Path file : files) {
          Files.delete(file);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    List.of(callers, trainers, steps).forEach(ExecutorService::shutdownNow);
    instances.forEach(SoakInstance::close);
    upstreams.close();
    store.condition(StoreStandin.Condition.SERVING);
    store.close();
    log.close();
  }

  private void start() {
    repeat(trainers, r -> disturbances.detectStall());
    instances.forEach(i -> repeat(trainers, r -> balancer.poll(i)));
    ProcessCluster.await(
        "instances in rotation",
        START_TIMEOUT_MS,
        () -> instances.stream().allMatch(balancer::isInRotation));
    repeat(callers, REUSING_CALLERS, r -> traffic.reuseConnection(r, MAX_IDLE_MS));
    repeat(callers, BUSY_CALLERS, r -> traffic.reuseConnection(r, MAX_BUSY_IDLE_MS));
    repeat(
        callers,
        NEW_CONNECTION_CALLERS,
        r -> traffic.useNewConnection(r, MAX_NEW_CONNECTION_IDLE_MS));
    instances.forEach(
        i -> repeat(callers, r -> traffic.probeConfig(r, i, PROBE_PAUSE_MS * instances.size())));
    repeat(callers, r -> submissions.submit(r, SUBMIT_PAUSE_MS));
    repeat(trainers, READERS, r -> submissions.read(r, MAX_READ_PAUSE_MS));
  }

  private void play(List<Step> schedule) {
    final long startMs = log.now();
    List<CompletableFuture<Void>> open = new ArrayList<>();
    for (Step step : schedule) {
      sleep(Math.max(0, startMs + step.atMs() - log.now()));
      log.event("%s", step);
      open.add(CompletableFuture.runAsync(() -> actions.get(step.action()).accept(step), steps));
    }
    open.forEach(s -> s.orTimeout(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS).join());
  }

  /** Waits for all answers and results, checks what ran, and stops every instance. */
  private void finish() {
    log.event("faults over");
    final long untilMs = log.now() + RECOVER_MS + FINISH_MS;
    submissions.awaitListed(untilMs);
    callers.shutdownNow();
    try {
      callers.awaitTermination(FINISH_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    instances.parallelStream().forEach(SoakInstance::stop);
    traffic.checkRuns();
    submissions.checkRuns();
  }

  private void definePlannedWork() {
    actions.put(
        Action.TERMINATE,
        s -> series(s.count(), s.lengthMs(), i -> instance(s, i).stopAndRestart()));
    actions.put(Action.HANG_UP, s -> series(s.count(), 0, i -> instance(s, i).hangUp()));
    actions.put(
        Action.CONFIGURE,
        s -> series(s.count(), s.lengthMs() % MAX_SERIES_SPACING_MS, i -> config.publishNext()));
    actions.put(Action.LEAVE_ENGINE, s -> upstreams.replace(s.target()));
    actions.put(Action.NAME_WEIGHTS, s -> upstreams.nameWeights());
  }

  private void defineFaults() {
    actions.put(Action.KILL, s -> series(s.count(), 0, i -> instance(s, i).killAndRestart()));
    actions.put(Action.PAUSE, s -> series(s.count(), 0, i -> instance(s, i).pause(s.lengthMs())));
    storeFault(
        Action.REFUSE_STORE,
        () -> store.condition(StoreStandin.Condition.REFUSING),
        () -> store.condition(StoreStandin.Condition.SERVING));
    storeFault(
        Action.SILENCE_STORE,
        () -> store.condition(StoreStandin.Condition.SILENT),
        () -> store.condition(StoreStandin.Condition.SERVING));
    storeFault(Action.SLOW_STORE, () -> store.delay(SLOW_STORE_MS), () -> store.delay(0));
    linkFault(Action.CUT_LINK, Action.CUT_UPSTREAM, Relay::cut, Relay::heal);
    linkFault(Action.RESET_LINK, Action.RESET_UPSTREAM, Relay::resetOpenConnections, Relay::heal);
    linkFault(
        Action.DELAY_LINK, Action.DELAY_UPSTREAM, r -> r.delay(SLOW_LINK_MS), r -> r.delay(0));
    linkFault(
        Action.SILENCE_LINK, Action.SILENCE_UPSTREAM, Relay::silenceOpenConnections, Relay::heal);
    actions.put(
        Action.DROP_LINK_ANSWERS,
        s -> {
          SoakInstance instance = instance(s, 0);
          during(
              instance.name(),
              s.lengthMs(),
              () -> instance.storeLink().dropAnswers(true),
              () -> instance.storeLink().dropAnswers(false));
        });
  }

  private void storeFault(Action action, Runnable begin, Runnable end) {
    actions.put(action, s -> during(Disturbances.STORE, s.lengthMs(), begin, end));
  }

  private void linkFault(
      Action ofStore, Action ofUpstream, Consumer<Relay> begin, Consumer<Relay> end) {
    actions.put(
        ofStore,
        s -> {
          SoakInstance instance = instance(s, 0);
          Relay link = instance.storeLink();
          during(instance.name(), s.lengthMs(), () -> begin.accept(link), () -> end.accept(link));
        });
    actions.put(
        ofUpstream,
        s -> {
          Relay link = upstreams.relay(s.target());
          during(
              Disturbances.UPSTREAMS,
              s.lengthMs(),
              () -> begin.accept(link),
              () -> end.accept(link));
        });
  }

  private void during(String subject, long millis, Runnable begin, Runnable end) {
    Disturbances.Interval fault = disturbances.beginFault(subject);
    begin.run();
    sleep(millis);
    end.run();
    disturbances.end(fault);
  }

  /** Runs the parts of a series, each in its own thread, and waits for all. */
  private void series(int count, long spacingMs, Consumer<Integer> part) {
    List<CompletableFuture<Void>> open = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int index = i;
      open.add(CompletableFuture.runAsync(() -> part.accept(index), steps));
      sleep(spacingMs);
    }
    open.forEach(CompletableFuture::join);
  }

  private SoakInstance instance(Step step, int offset) {
    return instances.get((step.target() % instances.size() + offset) % instances.size());
  }

  private void repeat(ExecutorService pool, int count, Consumer<Random> action) {
    IntStream.range(0, count).forEach(i -> repeat(pool, action));
  }

  private void repeat(ExecutorService pool, Consumer<Random> action) {
    Random random = new Random(seed * 31 + nextStream++);
    pool.execute(
        () -> {
          while (!Thread.currentThread().isInterrupted()) {
            action.accept(random);
          }
        });
  }

  private static ExecutorService pool(String name) {
    return Executors.newCachedThreadPool(
        task -> {
          Thread thread = new Thread(null, task, name, THREAD_STACK_BYTES);
          thread.setDaemon(true);
          return thread;
        });
  }
}
