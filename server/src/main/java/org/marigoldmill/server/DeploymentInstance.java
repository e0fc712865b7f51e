package org.marigoldmill.server;

import static java.time.Duration.ZERO;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.limit.WarmupTable;
import org.marigoldmill.core.limit.WarmupTolerance;
import org.marigoldmill.core.quarantine.SuspectTable;
import org.marigoldmill.core.relay.RelayPeers;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.submission.CheckpointPolicy;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.LoadQueue;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.batch.ModelEngineAllocator;
import org.marigoldmill.server.batch.RolloutMembership;
import org.marigoldmill.server.batch.Rollouts;
import org.marigoldmill.server.batch.SubmissionPartitions;
import org.marigoldmill.server.batch.TextLog;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.DutyApi;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.deployment.PlatformPorts;
import org.marigoldmill.server.deployment.RegionRules;
import org.marigoldmill.server.duty.ColdEngineMonitor;
import org.marigoldmill.server.duty.CrashLog;
import org.marigoldmill.server.duty.DutyLeaseHolder;
import org.marigoldmill.server.duty.EngineOrderDispatcher;
import org.marigoldmill.server.duty.EngineOrderLog;
import org.marigoldmill.server.duty.FleetLog;
import org.marigoldmill.server.duty.LimitLog;
import org.marigoldmill.server.duty.UsageCounter;
import org.marigoldmill.server.duty.UsageReporter;
import org.marigoldmill.server.duty.WeightOrderDispatcher;
import org.marigoldmill.server.gateway.AnswerObserver;
import org.marigoldmill.server.gateway.BackgroundGate;
import org.marigoldmill.server.gateway.ChoiceRecorder;
import org.marigoldmill.server.gateway.CrashDetector;
import org.marigoldmill.server.gateway.Forwarder;
import org.marigoldmill.server.gateway.Gateway;
import org.marigoldmill.server.gateway.StreamForwarder;
import org.marigoldmill.server.gateway.StreamOrigins;
import org.marigoldmill.server.gateway.SubmissionService;
import org.marigoldmill.server.gateway.UpstreamPicker;
import org.marigoldmill.server.gateway.UpstreamSender;
import org.marigoldmill.server.reachability.UpstreamPathMonitor;
import org.marigoldmill.server.relay.InstanceDirectory;
import org.marigoldmill.server.relay.RelayClient;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.MeteredLogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.PartitionReplica;

/**
 * A running entry instance of a deployment whose platform stores all persistent state.
 *
 * <pre>{@code
 * DeploymentInstance instance = DeploymentInstance.start(settings, Map.of(), ports, "/ready");
 * instance.awaitStopped();
 * }</pre>
 */
public final class DeploymentInstance implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long OPERATOR_READ_WAIT_MS = 1_000;
  private static final long ENGINE_READ_WAIT_MS = 1_500;
  private static final long DISCONNECT_CHECK_INTERVAL_MS = 100;
  private static final long EXPIRY_INTERVAL_MS = 5_000;
  private static final long LIMIT_REPORT_INTERVAL_MS = 250;
  private static final long ORIGINS_REMOVAL_INTERVAL_MS = 30_000;
  private static final long ORIGINS_INTERVAL_MS = 1_000;
  private static final long DIRECTORY_INTERVAL_MS = 250;
  private static final long HANDOVER_INTERVAL_MS = 200;

  /** Without the store an instance cannot accept submissions, so it reports itself not ready. */
  private static final long MAX_STORE_OUTAGE_MS = 800;

  /** Callers are refused at once after this time without the store; a single refusal is shorter. */
  private static final long STORE_LOST_MS = 200;

  /** Upper bound for the clock difference between instances. */
  private static final long CLOCK_SKEW_MARGIN_MS = 10_000;

  /** Time that an instance takes to end its runs once it hears that it has lost a partition. */
  private static final long FORMER_OWNER_STOP_MS = 200;

  private static final long DRAIN_POLL_MS = 20;
  private static final long TASK_STOP_MS = 150;
  private static final int IDLE_THREAD_SECONDS = 5;
  private static final int MAX_ITEM_THREADS = 256;
  private static final int MAX_PROBE_THREADS = 2;
  private static final int MAX_ANNOUNCEMENT_THREADS = 2;

  private final DeploymentSettings settings;
  private final PlatformPorts ports;
  private final Clock clock = Clock.monotonic();
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();
  private final Queue<PeriodicTask> tasks = new ConcurrentLinkedQueue<>();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicBoolean loggedReady = new AtomicBoolean();
  private final Metrics metrics = new Metrics();
  private final EngineVersions versions = new EngineVersions();
  private final UpstreamTable upstreams;
  private final DeploymentState deployment;
  private final EngineRegistry engines;
  private final PartitionFollower operatorFollower;
  private final PartitionFollower engineFollower;
  private final SubmissionPartitions partitions;
  private final RolloutMembership membership;
  private final DutyLeaseHolder lease;
  private final FleetLog fleet;
  private final EngineOrderLog engineOrders;
  private final CrashLog crashes;
  private final UpstreamPathMonitor pathMonitor;
  private final RelayPeers peers;
  private final InstanceDirectory directory;
  private final EngineLimits limits;
  private final LimitLog limitLog;
  private final ColdEngineMonitor coldEngines;
  private final StreamOrigins origins;
  private final Rollouts rollouts;
  private final DutyCandidacy duties;
  private final Gateway gateway;
  private final DeploymentServers servers;
  private Runnable publishUsage = () -> {};

  private DeploymentInstance(
      DeploymentSettings settings,
      Map<String, String> regionByZone,
      PlatformPorts ports,
      String readyPath) {
    this.settings = settings;
    this.ports = ports;
    this.deployment = new DeploymentState(ports.codec());
    this.upstreams =
        settings.getBalanceByEstimate()
            ? UpstreamTable.estimating(RandomGenerator.getDefault(), new ChoiceRecorder(metrics))
            : UpstreamTable.with(RandomGenerator.getDefault());
    this.engines = new EngineRegistry(ports.codec(), upstreams, versions);
    deployment.addEvacuationListener(engines::setEvacuatedZones);
    LogStore store = new MeteredLogStore(ports.store(), metrics::recordStoreCall);
    this.operatorFollower =
        new PartitionFollower(
            store, ports.operatorTopic(), 0, OPERATOR_READ_WAIT_MS, 0, deployment, clock);
    this.engineFollower =
        new PartitionFollower(
            store,
            ports.engineTopic(),
            0,
            ENGINE_READ_WAIT_MS,
            this::engineReadPauseMs,
            engines,
            clock);
    String process = settings.getInstance() + "#" + System.currentTimeMillis();
    this.partitions =
        new SubmissionPartitions(
            store,
            settings.getPartitions(),
            (int) settings.getCallBytes(),
            pool("append", settings.getPartitions()),
            clock);
    this.membership = new RolloutMembership(store, process, settings.getGroupTtlMs(), partitions);
    this.lease =
        new DutyLeaseHolder(
            store,
            process,
            settings.getLeaseTtlMs(),
            settings.getTurnGuardMs(),
            Clock.suspendAware());
    final SuspectTable suspects = new SuspectTable();
    final LoadQueue loads = new LoadQueue(LoadQueue.shareOfEngines(settings.getParallelLoads()));
    this.fleet =
        new FleetLog(
            store,
            settings.getInstance(),
            engines,
            versions,
            loads,
            this::fleetReadPauseMs,
            System::currentTimeMillis,
            clock);
    this.engineOrders = new EngineOrderLog(store, clock);
    this.crashes = new CrashLog(store, settings.getInstance(), suspects, clock);
    this.pathMonitor = new UpstreamPathMonitor(engines, RandomGenerator.getDefault(), clock);
    final HttpClient client = register(HttpClient.forUpstreams("upstreams", 1, pathMonitor));
    this.peers =
        new RelayPeers(settings.getInstance(), settings.getZone(), RandomGenerator.getDefault());
    this.directory =
        new InstanceDirectory(
            store, settings, peers, pathMonitor, System::currentTimeMillis, clock);
    final WarmupTable warmups =
        new WarmupTable(
            name ->
                deployment
                    .config()
                    .flatMap(c -> c.service(name))
                    .flatMap(DeploymentConfig.Service::warmup),
            new WarmupTolerance(settings.getWarmupExcess(), settings.getWarmupSlack()));
    this.limits =
        new EngineLimits(
            settings.getInstance(), process, warmups, RandomGenerator.getDefault(), clock.now());
    engines.addRemovalListener(limits::remove);
    engines.addEntryListener(e -> warmups.recordEntry(e, System.currentTimeMillis(), clock.now()));
    this.coldEngines = new ColdEngineMonitor(warmups, clock);
    this.limitLog =
        new LimitLog(
            store, settings.getInstance(), limits, engines, System::currentTimeMillis, clock);
    AnswerObserver answers =
        new AnswerObserver(ports.upstreams(), engines, upstreams, limits, warmups, clock);
    UpstreamSender sender = new UpstreamSender(client, ports.upstreams(), answers, clock);
    CrashDetector crashDetector =
        new CrashDetector(
            suspects, client, crashes, pathMonitor, pool("crashes", MAX_PROBE_THREADS), clock);
    this.origins =
        new StreamOrigins(store, engines, engineFollower::catchUp, settings.getPartitions(), clock);
    UpstreamPicker picker =
        new UpstreamPicker(engines, upstreams, limits, settings.getZone(), clock);
    RelayClient relay =
        new RelayClient(pathMonitor, peers, register(HttpClient.create("instances", 1)), clock);
    Forwarder forwarder =
        new Forwarder(
            picker, upstreams, sender, crashDetector, pathMonitor, relay, backgroundGate(), clock);
    RegionRules regions = new RegionRules(deployment, regionByZone);
    ModelEngineAllocator shares = new ModelEngineAllocator(deployment, engines, partitions);
    this.rollouts =
        new Rollouts(
            deployment,
            regions,
            partitions,
            membership,
            shares,
            versions,
            sender,
            forwarder,
            limits,
            fleet,
            engineOrders,
            textLog(store, process),
            pool("items", MAX_ITEM_THREADS),
            pathMonitor::isLost,
            metrics,
            settings.getZone(),
            clock);
    this.duties =
        new DutyCandidacy(
            membership, lease, rollouts, partitions, deployment, pathMonitor, peers, clock);
    UsageCounter usage = new UsageCounter(settings.getUsageWindowMs(), System::currentTimeMillis);
    SubmissionService submissions =
        new SubmissionService(
            partitions,
            ports.callers(),
            chunkBytes(),
            () -> operatorFollower.unreachableMs() >= STORE_LOST_MS,
            announcements(),
            clock);
    partitions.setLatestSubmissions(() -> fleet.latestSubmissions(membership::ownsModel));
    this.gateway =
        new Gateway(
            ports.callers(),
            deployment,
            regions,
            operatorFollower::overdueMs,
            forwarder,
            new StreamForwarder(
                picker, upstreams, sender, origins, pathMonitor, relay, ports.callers(), clock),
            submissions,
            usage,
            metrics,
            clock);
    this.servers = register(new DeploymentServers(settings, gateway, metrics));
    registerGauges();
    servers.startControlServers(readyPath, this::isReady);
    deployment.addConfigListener(servers::serveCallers);
    deployment.addConfigListener(config -> partitions.notifyChanged());
    startFollowers();
    startTasks(usage, loads, client, answers);
  }

  private TextLog textLog(LogStore store, String process) {
    return new TextLog(
        store,
        process,
        partitions::partitionOf,
        settings.getRecordBytes(),
        settings.getCallBytes(),
        membershipIntervalMs() + FORMER_OWNER_STOP_MS,
        pool("texts", settings.getPartitions()),
        clock);
  }

  /** Returns the interval at which an instance hears that it has lost a partition. */
  private long membershipIntervalMs() {
    return settings.getGroupTtlMs() / 3;
  }

  /** Tells the others of accepted submissions; a caller's answer does not wait for that. */
  private Consumer<Submission> announcements() {
    Executor executor = pool("announcements", MAX_ANNOUNCEMENT_THREADS);
    return submission -> {
      try {
        executor.execute(() -> fleet.publishAccepted(submission));
      } catch (RejectedExecutionException e) {
        logger.atInfo().log("submission not announced id=%s cause=no thread", submission.getId());
      }
    };
  }

  private Optional<BackgroundGate> backgroundGate() {
    return settings.getBalanceByEstimate() && settings.getBackgroundWindow()
        ? Optional.of(new BackgroundGate(upstreams, clock))
        : Optional.empty();
  }

  /**
   * Starts an instance.
   *
   * @param regionByZone region of each availability zone; empty if no request is restricted to any
   * @param readyPath path of the load balancer's readiness check
   */
  public static DeploymentInstance start(
      DeploymentSettings settings,
      Map<String, String> regionByZone,
      PlatformPorts ports,
      String readyPath) {
    DeploymentInstance instance = new DeploymentInstance(settings, regionByZone, ports, readyPath);
    logger.atInfo().log(
        "started instance=%s zone=%s store=%s",
        settings.getInstance(), settings.getZone(), settings.getStore());
    return instance;
  }

  /** Returns whether the instance can take requests. */
  public boolean isReady() {
    boolean ready = isUsable();
    if (loggedReady.getAndSet(ready) != ready) {
      logger.atInfo().log(
          "ready=%s stopping=%s config=%s engines=%s upstreams_lost=%s config_overdue_ms=%d",
          ready,
          draining.get(),
          deployment.config().isPresent(),
          engineFollower.ready(),
          pathMonitor.isLost(),
          operatorFollower.overdueMs());
    }
    return ready;
  }

  private boolean isUsable() {
    deployment.config().ifPresent(servers::serveCallers);
    return !draining.get()
        && deployment.config().isPresent()
        && servers.servesCallers()
        && operatorFollower.overdueMs() < MAX_STORE_OUTAGE_MS
        && engineFollower.ready()
        && !isBetterAvoided();
  }

  /**
   * Stops gracefully, within the grace period of the settings.
   *
   * <p>Requests are served until none is open after the load balancer has removed this instance.
   * From then on they are refused, so that none is in progress when the connections are closed.
   */
  public void drain() {
    if (!draining.compareAndSet(false, true)) {
      return;
    }
    final long startedAtMs = clock.now();
    ShutdownSchedule schedule = ShutdownSchedule.of(startedAtMs, settings.getGraceMs());
    gateway.drain(schedule.removedMs(), schedule.serveUntilMs());
    logger.atInfo().log(
        "stopping open=%d items=%d", servers.openRequests(), rollouts.runningAttempts());
    List<String> inProgress = rollouts.startDraining();
    long itemsUntilUnixMs = System.currentTimeMillis() + schedule.serveUntilMs() - startedAtMs;
    startThread("leave-directory", directory::leave);
    final Thread leaving = startThread("leave", () -> leave(inProgress, itemsUntilUnixMs));
    logShutdownPhase("serving", startedAtMs);
    while (clock.now() < schedule.serveUntilMs() && !refuseCallersIfQuiet(schedule.removedMs())) {
      Pause.millis(DRAIN_POLL_MS);
    }
    logShutdownPhase("refusing", startedAtMs);
    rollouts.cancelAll();
    servers.closeCallers(schedule.answerUntilMs() - clock.now());
    logShutdownPhase("storing usage", startedAtMs);
    Thread usage = startThread("last-usage", publishUsage);
    awaitEnd(leaving, schedule.storeUntilMs());
    awaitEnd(usage, schedule.storeUntilMs());
    logShutdownPhase("closing", startedAtMs);
    close();
    logShutdownPhase("stopped", startedAtMs);
  }

  /** Refuses callers once the load balancer sends none and nothing is in progress. */
  private boolean refuseCallersIfQuiet(long removedMs) {
    return clock.now() >= removedMs
        && rollouts.runningAttempts() == 0
        && servers.refuseCallersIfIdle();
  }

  private void leave(List<String> itemsInProgress, long itemsUntilUnixMs) {
    if (!itemsInProgress.isEmpty()) {
      fleet.publishItemsInProgress(itemsInProgress, itemsUntilUnixMs);
    }
    membership.leave();
    lease.release();
    limitLog.leave();
  }

  /** Unready only while callers find an instance elsewhere that reaches upstreams by itself. */
  private boolean isBetterAvoided() {
    return pathMonitor.isLost() && peers.anyReachesUpstreams();
  }

  /** Starts a thread that the end of the process does not wait for. */
  private static Thread startThread(String name, Runnable action) {
    Thread thread = new Thread(action, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void awaitEnd(Thread thread, long untilMs) {
    try {
      thread.join(Math.max(1, untilMs - clock.now()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (thread.isAlive()) {
      logger.atWarning().log("step of the shutdown not completed name=%s", thread.getName());
    }
  }

  private void logShutdownPhase(String phase, long startedAtMs) {
    logger.atInfo().log(
        "shutdown phase=%s after_ms=%d open=%d items=%d",
        phase, clock.now() - startedAtMs, servers.openRequests(), rollouts.runningAttempts());
  }

  /** Waits until the instance has stopped. */
  public void awaitStopped() throws InterruptedException {
    stopped.await();
  }

  @Override
  public void close() {
    PeriodicTask.stopAll(tasks, TASK_STOP_MS);
    for (Optional<AutoCloseable> resource = popResource();
        resource.isPresent();
        resource = popResource()) {
      try {
        resource.get().close();
      } catch (Exception e) {
        logger.atWarning().withCause(e).log("resource not closed");
      }
    }
    stopped.countDown();
  }

  private Optional<AutoCloseable> popResource() {
    synchronized (resources) {
      return Optional.ofNullable(resources.poll());
    }
  }

  private int chunkBytes() {
    return (int) Math.min(settings.getRecordBytes(), settings.getCallBytes()) * 3 / 4;
  }

  private long fleetReadPauseMs() {
    return duties.fleetReadPauseMs();
  }

  private long engineReadPauseMs() {
    return duties.engineReadPauseMs();
  }

  private void registerGauges() {
    metrics.registerGauge(
        "config_version",
        "Version of the configuration in force",
        () -> deployment.config().map(c -> (double) c.version()).orElse(0.0));
    metrics.registerGauge(
        "evacuated_zones",
        "Availability zones that are evacuated",
        () -> deployment.evacuatedZones().size());
    metrics.registerGauge("open_requests", "Requests in progress", servers::openRequests);
    metrics.registerGauge(
        "running_items", "Items that are being generated", rollouts::runningAttempts);
    metrics.registerGauge("cold_engines", "Engines that are warming up", coldEngines::count);
    metrics.registerGauge(
        "partitions_followed", "Partitions that are followed", partitions::followedCount);
    metrics.registerGauge(
        "upstream_path_lost",
        "1 while no upstream is reached, else 0",
        () -> pathMonitor.isLost() ? 1 : 0);
    metrics.registerGauge(
        "process_cpu_seconds",
        "Processor time of the process since its start",
        () -> ProcessHandle.current().info().totalCpuDuration().orElse(ZERO).toMillis() / 1e3);
    metrics.registerGauge(
        "config_age_seconds", "Age of the configuration", () -> operatorFollower.ageMs() / 1e3);
  }

  private void startFollowers() {
    startTask(0, "operator", operatorFollower::pollOnce);
    startTask(0, "engines", engineFollower::pollOnce);
    startTask(0, "crashes-log", crashes.follower()::pollOnce);
    startTask(0, "origins-log", origins.follower()::pollOnce);
    startTask(0, "limit-log", limitLog.follower()::pollOnce);
    startTask(0, "instances-log", directory.follower()::pollOnce);
    startTask(0, "fleet", () -> duties.follow(fleet.follower()));
    startTask(0, "lease-log", () -> duties.follow(lease.follower()));
    for (PartitionReplica replica : partitions.replicas()) {
      startTask(0, "partition", replica::pollOnce);
    }
  }

  private void startTasks(
      UsageCounter usage, LoadQueue loads, HttpClient client, AnswerObserver answers) {
    startTask(membershipIntervalMs(), "membership", membership::joinOrRenew);
    startTask(duties::intervalMs, "lease", duties::claimLeaseIfDue);
    startTask(
        HANDOVER_INTERVAL_MS,
        "handover",
        () -> {
          if (!draining.get()) {
            duties.handOverIfDue();
          }
        });
    startTask(0, "rollouts", rollouts::scheduleOnce);
    WeightOrderDispatcher orderDispatcher =
        new WeightOrderDispatcher(
            lease,
            engines,
            versions,
            fleet,
            ports.upstreams(),
            client,
            answers,
            limits,
            loads,
            settings.getInstance(),
            clock);
    startTask(duties::intervalMs, "weights", orderDispatcher::sendOrders);
    startTask(duties::intervalMs, "weight-plan", rollouts::planWeights);
    startTask(CheckpointPolicy.INTERVAL_MS, "texts", rollouts::storeTexts);
    startTask(DIRECTORY_INTERVAL_MS, "instances", directory::publishDue);
    startTask(0, "upstream-path", () -> pathMonitor.checkOnce(client));
    startTask(
        LIMIT_REPORT_INTERVAL_MS,
        "limits",
        () -> {
          coldEngines.logChanges();
          limitLog.publishDue();
        });
    startTask(
        ORIGINS_INTERVAL_MS,
        "origins",
        () -> origins.update(lease.remainsHeldFor(ORIGINS_INTERVAL_MS)));
    startTask(
        ORIGINS_REMOVAL_INTERVAL_MS,
        "origins-removal",
        () -> {
          if (lease.remainsHeldFor(ORIGINS_INTERVAL_MS) && deployment.hasResumableRoutes()) {
            origins.removeExpiredRecords();
          }
        });
    startTask(EXPIRY_INTERVAL_MS, "expiry", this::expireSubmissions);
    startTask(DISCONNECT_CHECK_INTERVAL_MS, "caller-watch", gateway::detectDisconnects);
    if (settings.getOrderEngines()) {
      ports.dutyApi().ifPresent(this::startEngineOrders);
    }
    if (settings.getUsageWindowMs() > 0 && ports.dutyApi().isPresent()) {
      UsageReporter usageReporter =
          new UsageReporter(
              usage,
              fleet,
              lease,
              ports.dutyApi().get(),
              settings.getInstance(),
              settings.getUsageWindowMs(),
              settings.getUsageLateMs(),
              System::currentTimeMillis);
      startTask(duties::usageIntervalMs, "usage", usageReporter::publishAndReportDue);
      publishUsage = usageReporter::publishAll;
    }
  }

  private void startEngineOrders(DutyApi api) {
    EngineOrderDispatcher dispatcher =
        new EngineOrderDispatcher(
            lease,
            deployment,
            engines,
            engineFollower,
            engineOrders,
            api,
            metrics,
            settings.getInstance(),
            clock);
    startTask(0, "engine-order-log", () -> duties.followEngineOrders(engineOrders.follower()));
    startTask(duties::engineOrdersIntervalMs, "engine-orders", dispatcher::sendOrders);
    startTask(duties::engineOrdersIntervalMs, "engine-needs", rollouts::publishEngineNeeds);
  }

  /** Deletes submissions past their retention in the partitions that this instance holds. */
  private void expireSubmissions() {
    long acceptedBeforeUnixMs =
        System.currentTimeMillis() - settings.getResultRetentionMs() - CLOCK_SKEW_MARGIN_MS;
    partitions.deleteEnded(acceptedBeforeUnixMs, membership::ownsPartition);
    if (lease.remainsHeldFor(EXPIRY_INTERVAL_MS / 10)) {
      directory.deleteOutdated();
    }
  }

  private void startTask(long pauseMs, String name, PeriodicTask.Action action) {
    startTask(() -> pauseMs, name, action);
  }

  private void startTask(LongSupplier pauseMs, String name, PeriodicTask.Action action) {
    tasks.add(PeriodicTask.start(pauseMs, name, action));
  }

  private ExecutorService pool(String name, int maxThreads) {
    ThreadPoolExecutor pool =
        new ThreadPoolExecutor(
            0,
            maxThreads,
            IDLE_THREAD_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    register(pool::shutdownNow);
    return pool;
  }

  private <T extends AutoCloseable> T register(T resource) {
    synchronized (resources) {
      resources.push(resource);
    }
    return resource;
  }
}
