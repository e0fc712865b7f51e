package org.marigoldmill.server;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.marigoldmill.core.quarantine.SuspectTable;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.LoadQueue;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.server.batch.ModelEngineAllocator;
import org.marigoldmill.server.batch.RolloutMembership;
import org.marigoldmill.server.batch.Rollouts;
import org.marigoldmill.server.batch.SubmissionPartitions;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.deployment.PlatformPorts;
import org.marigoldmill.server.duty.DutyLeaseHolder;
import org.marigoldmill.server.duty.FleetLog;
import org.marigoldmill.server.duty.UsageCounter;
import org.marigoldmill.server.duty.UsageDuty;
import org.marigoldmill.server.duty.WeightDuty;
import org.marigoldmill.server.gateway.CrashWatch;
import org.marigoldmill.server.gateway.Forwarder;
import org.marigoldmill.server.gateway.Gateway;
import org.marigoldmill.server.gateway.StreamCarrier;
import org.marigoldmill.server.gateway.SubmissionService;
import org.marigoldmill.server.gateway.UpstreamPicker;
import org.marigoldmill.server.gateway.UpstreamSender;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.PartitionReplica;

/**
 * One running entry instance of a deployment whose platform keeps all that lasts.
 *
 * <pre>{@code
 * DeploymentInstance instance = DeploymentInstance.start(settings, ports, "/ready");
 * instance.awaitStopped();
 * }</pre>
 */
public final class DeploymentInstance implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long OPERATOR_POLL_MS = 1_000;
  private static final long ENGINE_POLL_MS = 1_500;
  private static final long ENGINE_PAUSE_MS = 200;
  private static final long TICK_MS = 50;
  private static final long CALLER_LOOK_MS = 100;
  private static final long EXPIRY_MS = 5_000;

  /** An instance without the store can take no submission, so callers better go elsewhere. */
  private static final long STORE_PATIENCE_MS = 800;

  /** Clocks of instances differ by less than this, in milliseconds. */
  private static final long EXPIRY_MARGIN_MS = 10_000;

  private static final long DRAIN_POLL_MS = 20;
  private static final long BALANCER_NOTICE_MS = 2_300;
  private static final long STOP_RESERVE_MS = 1_200;
  private static final int IDLE_THREAD_SECONDS = 5;
  private static final int MOST_TASKS = 256;
  private static final int SMALL_POOL = 2;

  private final DeploymentSettings settings;
  private final PlatformPorts ports;
  private final Clock clock = Clock.monotonic();
  private final Deque<AutoCloseable> parts = new ArrayDeque<>();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicBoolean toldReady = new AtomicBoolean();
  private final Metrics metrics = new Metrics();
  private final EngineVersions versions = new EngineVersions();
  private final UpstreamTable upstreams = UpstreamTable.with(RandomGenerator.getDefault());
  private final DeploymentState deployment;
  private final EngineRegistry registry;
  private final PartitionFollower operatorFollower;
  private final PartitionFollower engineFollower;
  private final SubmissionPartitions partitions;
  private final RolloutMembership membership;
  private final DutyLeaseHolder lease;
  private final FleetLog fleet;
  private final Rollouts rollouts;
  private final Gateway gateway;
  private final DeploymentServers servers;
  private Runnable tellUsage = () -> {};

  private DeploymentInstance(DeploymentSettings settings, PlatformPorts ports, String readyPath) {
    this.settings = settings;
    this.ports = ports;
    this.deployment = new DeploymentState(ports.codec());
    this.registry = new EngineRegistry(ports.codec(), upstreams, versions);
    this.operatorFollower =
        new PartitionFollower(
            ports.store(), ports.operatorTopic(), 0, OPERATOR_POLL_MS, 0, deployment, clock);
    this.engineFollower =
        new PartitionFollower(
            ports.store(),
            ports.engineTopic(),
            0,
            ENGINE_POLL_MS,
            ENGINE_PAUSE_MS,
            registry,
            clock);
    String process = settings.getInstance() + "#" + System.currentTimeMillis();
    this.partitions =
        new SubmissionPartitions(
            ports.store(),
            settings.getPartitions(),
            (int) settings.getCallBytes(),
            pool("append", settings.getPartitions()),
            clock);
    this.membership =
        new RolloutMembership(ports.store(), process, settings.getGroupTtlMs(), partitions);
    this.lease =
        new DutyLeaseHolder(
            ports.store(),
            process,
            settings.getLeaseTtlMs(),
            settings.getTurnGuardMs(),
            Clock.suspendAware());
    final SuspectTable suspects = new SuspectTable();
    final LoadQueue loads = new LoadQueue(settings.getParallelLoads());
    this.fleet =
        new FleetLog(
            ports.store(),
            settings.getInstance(),
            registry,
            versions,
            loads,
            suspects,
            System::currentTimeMillis,
            clock);
    HttpClient client = opened(HttpClient.create("upstreams", 1));
    UpstreamSender sender = new UpstreamSender(client, ports.upstreams(), upstreams, clock);
    CrashWatch crashes =
        new CrashWatch(suspects, client, fleet, pool("crashes", SMALL_POOL), clock);
    UpstreamPicker picker = new UpstreamPicker(registry, upstreams, settings.getZone(), clock);
    Forwarder forwarder = new Forwarder(picker, upstreams, sender, crashes, clock);
    ModelEngineAllocator shares = new ModelEngineAllocator(deployment, registry, partitions);
    this.rollouts =
        new Rollouts(
            deployment,
            partitions,
            membership,
            shares,
            versions,
            sender,
            forwarder,
            fleet,
            pool("items", MOST_TASKS),
            metrics,
            settings.getZone(),
            clock);
    UsageCounter usage = new UsageCounter(settings.getUsageWindowMs(), System::currentTimeMillis);
    SubmissionService submissions =
        new SubmissionService(partitions, ports.callers(), chunkBytes(), clock);
    this.gateway =
        new Gateway(
            ports.callers(),
            deployment,
            forwarder,
            new StreamCarrier(picker, upstreams, sender, ports.callers(), clock),
            submissions,
            usage,
            metrics,
            clock);
    showGauges();
    this.servers = opened(new DeploymentServers(settings, gateway, metrics));
    servers.open(readyPath, this::ready);
    deployment.addConfigListener(servers::serveCallers);
    follow();
    startDuties(usage, loads, client);
  }

  /**
   * Starts an instance.
   *
   * @param readyPath path at which the balancer asks for readiness
   */
  public static DeploymentInstance start(
      DeploymentSettings settings, PlatformPorts ports, String readyPath) {
    DeploymentInstance instance = new DeploymentInstance(settings, ports, readyPath);
    logger.atInfo().log(
        "started instance=%s zone=%s store=%s",
        settings.getInstance(), settings.getZone(), settings.getStore());
    return instance;
  }

  /** Returns whether callers may be sent here. */
  public boolean ready() {
    boolean now = usable();
    if (toldReady.getAndSet(now) != now) {
      logger.atInfo().log(
          "ready=%s stopping=%s config=%s engines=%s partitions=%s store_away_ms=%d",
          now,
          draining.get(),
          deployment.config().isPresent(),
          engineFollower.ready(),
          partitions.ready(),
          operatorFollower.unreachableMs());
    }
    return now;
  }

  private boolean usable() {
    deployment.config().ifPresent(servers::serveCallers);
    return !draining.get()
        && deployment.config().isPresent()
        && servers.servesCallers()
        && operatorFollower.unreachableMs() < STORE_PATIENCE_MS
        && engineFollower.ready()
        && partitions.ready();
  }

  /** Stops gracefully; returns once everything has ended. */
  public void drain() {
    if (!draining.compareAndSet(false, true)) {
      return;
    }
    final long until = clock.now() + settings.getGraceMs() - STOP_RESERVE_MS;
    final long noticed = clock.now() + BALANCER_NOTICE_MS;
    logger.atInfo().log("stopping open=%d items=%d", gateway.open(), rollouts.runningAttempts());
    gateway.drain();
    List<String> kept = rollouts.startDraining();
    if (!kept.isEmpty()) {
      fleet.kept(kept, System.currentTimeMillis() + settings.getGraceMs() - STOP_RESERVE_MS);
    }
    membership.leave();
    lease.release();
    while (clock.now() < noticed
        || (gateway.open() + rollouts.runningAttempts() > 0 && clock.now() < until)) {
      Pause.millis(DRAIN_POLL_MS);
    }
    rollouts.cancelAll();
    tellUsage.run();
    logger.atInfo().log("stopped open=%d", gateway.open());
    close();
  }

  /** Waits until the instance has stopped. */
  public void awaitStopped() throws InterruptedException {
    stopped.await();
  }

  @Override
  public void close() {
    for (Optional<AutoCloseable> part = next(); part.isPresent(); part = next()) {
      try {
        part.get().close();
      } catch (Exception e) {
        logger.atWarning().withCause(e).log("close");
      }
    }
    stopped.countDown();
  }

  private Optional<AutoCloseable> next() {
    synchronized (parts) {
      return Optional.ofNullable(parts.poll());
    }
  }

  private int chunkBytes() {
    return (int) Math.min(settings.getRecordBytes(), settings.getCallBytes()) * 3 / 4;
  }

  private void showGauges() {
    metrics.gauge(
        "config_version",
        "Version of the configuration in force",
        () -> deployment.config().map(c -> (double) c.version()).orElse(0.0));
    metrics.gauge("open_requests", "Requests in progress", gateway::open);
    metrics.gauge("running_items", "Items that are being generated", rollouts::runningAttempts);
    metrics.gauge(
        "config_age_seconds", "Age of the configuration", () -> operatorFollower.ageMs() / 1e3);
  }

  private void follow() {
    duty(0, "operator", operatorFollower::runRound);
    duty(0, "engines", engineFollower::runRound);
    duty(0, "fleet", fleet.follower()::runRound);
    duty(0, "lease-log", lease.follower()::runRound);
    for (PartitionReplica replica : partitions.replicas()) {
      duty(0, "partition", replica.follower()::runRound);
    }
  }

  private void startDuties(UsageCounter usage, LoadQueue loads, HttpClient client) {
    duty(settings.getGroupTtlMs() / 3, "membership", membership::runRound);
    duty(TICK_MS, "lease", lease::runRound);
    duty(0, "rollouts", rollouts::runRound);
    WeightDuty weights =
        new WeightDuty(
            lease,
            registry,
            versions,
            fleet,
            ports.upstreams(),
            client,
            loads,
            settings.getInstance(),
            clock);
    duty(TICK_MS, "weights", weights::runRound);
    duty(TICK_MS, "weight-plan", rollouts::planWeights);
    duty(EXPIRY_MS, "expiry", this::forgetOld);
    duty(CALLER_LOOK_MS, "caller-watch", gateway::watchCallers);
    if (settings.getUsageWindowMs() > 0 && ports.dutyApi().isPresent()) {
      UsageDuty reports =
          new UsageDuty(
              usage,
              fleet,
              lease,
              ports.dutyApi().get(),
              settings.getInstance(),
              settings.getUsageWindowMs(),
              settings.getUsageLateMs(),
              System::currentTimeMillis);
      duty(TICK_MS * 2, "usage", reports::runRound);
      tellUsage = reports::tellAll;
    }
  }

  /** Drops submissions whose results no longer have to be shown, each by the holder of its part. */
  private void forgetOld() {
    long before = System.currentTimeMillis() - settings.getResultRetentionMs() - EXPIRY_MARGIN_MS;
    partitions.deleteEndedBefore(before, membership::ownsPartition);
  }

  private void duty(long pauseMs, String name, Duty.Round round) {
    opened(Duty.every(pauseMs, name, round));
  }

  private ExecutorService pool(String name, int most) {
    ThreadPoolExecutor pool =
        new ThreadPoolExecutor(
            0,
            most,
            IDLE_THREAD_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    opened(pool::shutdownNow);
    return pool;
  }

  private <T extends AutoCloseable> T opened(T part) {
    synchronized (parts) {
      parts.push(part);
    }
    return part;
  }
}
