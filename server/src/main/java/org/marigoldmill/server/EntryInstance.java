package org.marigoldmill.server;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.MessageOrBuilder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.marigoldmill.core.attempt.ClaimTable;
import org.marigoldmill.core.lease.LeaseElector;
import org.marigoldmill.core.lease.LeaseScopes;
import org.marigoldmill.core.membership.MemberTable;
import org.marigoldmill.core.quarantine.SuspectTable;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.operator.PublishReply;
import org.marigoldmill.schema.peer.ExchangeMessage;
import org.marigoldmill.schema.peer.HeldBatch;
import org.marigoldmill.schema.peer.HeldRequest;
import org.marigoldmill.schema.peer.MemberEntry;
import org.marigoldmill.schema.peer.RunClaim;
import org.marigoldmill.schema.settings.ServeSettings;
import org.marigoldmill.schema.upstream.DrawReply;
import org.marigoldmill.schema.upstream.DrawRequest;
import org.marigoldmill.schema.upstream.SampleGroup;
import org.marigoldmill.server.call.CallHandler;
import org.marigoldmill.server.call.CallServer;
import org.marigoldmill.server.call.Quarantine;
import org.marigoldmill.server.call.RunClaims;
import org.marigoldmill.server.control.BillingDuty;
import org.marigoldmill.server.control.LeaseDuty;
import org.marigoldmill.server.control.OrderingDuty;
import org.marigoldmill.server.control.SnapshotDuty;
import org.marigoldmill.server.operator.OperatorServer;
import org.marigoldmill.server.operator.Publisher;
import org.marigoldmill.server.operator.StateView;
import org.marigoldmill.server.peer.Knowledge;
import org.marigoldmill.server.peer.PeerClient;
import org.marigoldmill.server.peer.PeerExchange;
import org.marigoldmill.server.peer.PeerServer;
import org.marigoldmill.server.platform.LogAppender;
import org.marigoldmill.server.platform.LogFollower;
import org.marigoldmill.server.platform.PlatformClient;
import org.marigoldmill.server.rollout.DrawHandler;
import org.marigoldmill.server.rollout.JobDirectory;
import org.marigoldmill.server.rollout.RolloutFactory;
import org.marigoldmill.server.state.EngineWatch;
import org.marigoldmill.server.state.Instances;
import org.marigoldmill.server.state.SharedState;
import org.marigoldmill.server.usage.UsageLedger;

/**
 * One running entry instance.
 *
 * <pre>{@code
 * EntryInstance instance = EntryInstance.start(settings);
 * instance.awaitStopped();
 * }</pre>
 */
public final class EntryInstance implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CONTROL_INTERVAL_MS = 100;
  private static final long WATCH_INTERVAL_MS = 200;
  private static final long TIMER_INTERVAL_MS = 20;
  private static final long TASK_STOP_MS = 2_000;

  private final ServeSettings settings;
  private final Clock clock = Clock.monotonic();
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();
  private final List<PeriodicTask> tasks = new ArrayList<>();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final SharedState state = new SharedState();
  private final Metrics metrics = new Metrics();
  private final SuspectTable suspects = new SuspectTable();
  private final UpstreamTable upstreams;
  private final MemberTable members;
  private final HttpClient client;
  private final Instances instances;
  private final UsageLedger ledger;
  private final PeerExchange exchange;
  private final Knowledge knowledge;
  private final JobDirectory jobs;
  private final LeaseDuty leases;
  private final Publisher publisher;
  private final RunClaims claims;
  private final CallServer calls;
  private volatile boolean ready = true;

  private EntryInstance(ServeSettings settings) {
    this.settings = settings;
    final long incarnation = System.currentTimeMillis();
    final String process = settings.getInstance() + "#" + incarnation;
    this.upstreams = UpstreamTable.with(RandomGenerator.getDefault());
    this.members =
        MemberTable.of(selfEntry(incarnation), settings.getFailureTimeoutMs(), clock.now());
    this.client = register(HttpClient.create("client-" + settings.getInstance(), 2));
    HttpClient control = register(HttpClient.create("control-" + settings.getInstance(), 1));
    PlatformClient platform = new PlatformClient(control, settings.getPlatform());
    this.instances = new Instances(platform, upstreams);
    this.ledger = new UsageLedger(settings.getZone(), process, clock);
    LogFollower follower = new LogFollower(platform, state, clock);
    LogAppender appender = register(new LogAppender(platform, process));
    this.knowledge = new Knowledge(follower::lastCaughtUpAtMs, members, instances, clock);
    PeerClient peers = register(new PeerClient());
    this.exchange =
        new PeerExchange(
            members,
            peers,
            instances,
            state,
            ledger,
            knowledge,
            suspects,
            clock,
            RandomGenerator.getDefault());
    this.leases = leases(process, appender);
    EngineWatch watch = new EngineWatch(control, upstreams, clock);
    this.jobs = jobs(process, peers, watch);
    this.claims = new RunClaims(settings.getInstance(), instances, peers, new ClaimTable(), clock);
    this.publisher = new Publisher(state, appender, exchange, members, knowledge, clock);
    this.calls = callServer();
    register(new PeerServer(settings.getPeerAddress(), new PeerRequestHandler()));
    register(
        new OperatorServer(settings.getOperatorAddress(), new OperatorRequestHandler(), metrics));
    registerGauges();
    startTasks(follower, watch, platform, appender, process);
  }

  /** Starts an instance with all its servers and periodic tasks. */
  public static EntryInstance start(ServeSettings settings) {
    EntryInstance instance = new EntryInstance(settings);
    logger.atInfo().log("entry instance %s started", settings.getInstance());
    return instance;
  }

  /** Starts a graceful shutdown on another thread; further calls have no effect. */
  public void drain() {
    if (draining.compareAndSet(false, true)) {
      Thread thread = new Thread(this::runDrain, "drain");
      thread.start();
    }
  }

  /** Waits until the instance has stopped. */
  public void awaitStopped() throws InterruptedException {
    stopped.await();
  }

  /** Stops at once without waiting for open calls. */
  @Override
  public void close() {
    PeriodicTask.stopAll(tasks, TASK_STOP_MS);
    while (!resources.isEmpty()) {
      closeQuietly(resources.pop());
    }
    stopped.countDown();
  }

  private MemberEntry selfEntry(long incarnation) {
    return MemberEntry.newBuilder()
        .setName(settings.getInstance())
        .setZone(settings.getZone())
        .setAddress(settings.getPeerAddress())
        .setIncarnation(incarnation)
        .build();
  }

  private LeaseDuty leases(String process, LogAppender appender) {
    List<LeaseElector> electors =
        List.of(
            elector(LeaseScopes.ordering(settings.getZone()), process),
            elector(LeaseScopes.billing(settings.getZone()), process),
            elector(LeaseScopes.SNAPSHOT, process));
    return new LeaseDuty(electors, state, appender, members, clock);
  }

  private LeaseElector elector(String scope, String process) {
    return LeaseElector.of(
        scope, process, settings.getLeaseTtlMs(), settings.getLeaseGuardMs(), clock.now());
  }

  private JobDirectory jobs(String process, PeerClient peers, EngineWatch watch) {
    RolloutFactory factory =
        register(
            new RolloutFactory(
                process,
                settings.getZone(),
                upstreams,
                watch,
                client,
                state,
                ledger,
                metrics,
                clock));
    return register(
        new JobDirectory(
            state, members, peers, instances, clock, job -> factory.start(job, this::replicate)));
  }

  private void replicate(String job, long step, SampleGroup group) {
    jobs.replicate(job, step, group);
  }

  private CallServer callServer() {
    Tracing tracing = register(new Tracing(settings.getInstance(), Optional.empty()));
    CallHandler.Dependencies callParts =
        new CallHandler.Dependencies(
            upstreams,
            client,
            ledger,
            metrics,
            tracing,
            claims,
            new Quarantine(suspects, client, exchange::broadcast, clock),
            clock,
            settings.getZone());
    DrawHandler draws = register(new DrawHandler(jobs));
    return register(new CallServer(settings, state, callParts, draws, knowledge::ageMs));
  }

  private void registerGauges() {
    metrics.registerGauge("revision", "Revision in force", () -> state.snapshot().getRevision());
    metrics.registerGauge(
        "log_offset", "Next offset to read", () -> state.snapshot().getNextOffset());
    metrics.registerGauge(
        "knowledge_age_seconds",
        "Age of the knowledge of withdrawals",
        () -> knowledge.ageMs() / 1e3);
    metrics.registerGauge(
        "live_instances", "Entry instances held live", () -> members.live(clock.now()).size());
    metrics.registerGauge("open_calls", "Calls and draws in progress", () -> calls.openRequests());
  }

  private void startTasks(
      LogFollower follower,
      EngineWatch watch,
      PlatformClient platform,
      LogAppender appender,
      String process) {
    startTask(0, "log-follower", follower::readOnce);
    startTask(settings.getListIntervalMs(), "instance-list", instances::readOnce);
    startTask(settings.getExchangeIntervalMs(), "peer-exchange", exchange::runGossipRound);
    startTask(WATCH_INTERVAL_MS, "engine-watch", () -> watch.readOnce(instances.upstreams()));
    startTask(CONTROL_INTERVAL_MS, "leases", leases::claimDueLeases);
    startTask(
        CONTROL_INTERVAL_MS, "ordering", ordering(platform, appender, process)::advanceOrders);
    startTask(
        CONTROL_INTERVAL_MS, "billing", billing(platform, appender, process)::recordAndReportUsage);
    startTask(CONTROL_INTERVAL_MS, "snapshots", snapshots(appender)::appendSnapshotIfDue);
    startTask(CONTROL_INTERVAL_MS, "withdrawals", publisher::appendMissingWithdrawals);
    startTask(CONTROL_INTERVAL_MS, "jobs", jobs::stopIdleRunners);
    startTask(TIMER_INTERVAL_MS, "call-timer", calls::expireAndStartQueued);
  }

  private OrderingDuty ordering(PlatformClient platform, LogAppender appender, String process) {
    return new OrderingDuty(
        settings.getZone(),
        process,
        settings.getSendLimitMs(),
        leases.elector(LeaseScopes.ordering(settings.getZone())),
        state,
        instances,
        platform,
        appender,
        clock);
  }

  private BillingDuty billing(PlatformClient platform, LogAppender appender, String process) {
    return new BillingDuty(
        settings.getZone(),
        process,
        settings.getSendLimitMs(),
        leases.elector(LeaseScopes.billing(settings.getZone())),
        state,
        ledger,
        platform,
        appender,
        clock);
  }

  private SnapshotDuty snapshots(LogAppender appender) {
    return new SnapshotDuty(
        settings.getSnapshotEveryRecords(),
        leases.elector(LeaseScopes.SNAPSHOT),
        state,
        appender,
        clock);
  }

  private void startTask(long pauseMs, String name, PeriodicTask.Action round) {
    tasks.add(PeriodicTask.start(pauseMs, name, round));
  }

  private void runDrain() {
    logger.atInfo().log("drains");
    ready = false;
    members.leave();
    exchange.broadcast();
    Pause.millis(settings.getDrainNoticeMs());
    logger.atInfo().log("refuses new calls open=%d", calls.openRequests());
    if (!calls.refuseAndAwaitOpen(settings.getDrainTimeoutMs())) {
      logger.atWarning().log("drain timeout expired open=%d", calls.openRequests());
    }
    leases.releaseAll();
    exchange.broadcast();
    Pause.millis(CONTROL_INTERVAL_MS);
    close();
    logger.atInfo().log("stopped");
  }

  private <T extends AutoCloseable> T register(T part) {
    resources.push(part);
    return part;
  }

  private static void closeQuietly(AutoCloseable part) {
    try {
      part.close();
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("failed to close a component; continuing the shutdown");
    }
  }

  private final class PeerRequestHandler implements PeerServer.Handler {
    @Override
    public ExchangeMessage exchange(ExchangeMessage message) {
      return exchange.receive(message);
    }

    @Override
    public Snapshot snapshot() {
      return state.snapshot();
    }

    @Override
    public DrawReply draw(DrawRequest request) {
      return jobs.drawLocally(request);
    }

    @Override
    public void storeReplicas(HeldBatch batch) {
      jobs.storeReplicas(batch);
    }

    @Override
    public HeldBatch replicas(HeldRequest request) {
      return jobs.replicas(request);
    }

    @Override
    public boolean claimRun(RunClaim claim) {
      return claims.applyLocally(claim);
    }
  }

  private final class OperatorRequestHandler implements OperatorServer.Backend {
    @Override
    public boolean ready() {
      return ready && state.config().revision() > 0 && instances.isLoaded();
    }

    @Override
    public MessageOrBuilder show(String what) {
      return new StateView(state, members, knowledge, jobs, ledger, instances, upstreams, clock)
          .show(what);
    }

    @Override
    public PublishReply publish(Declaration declaration, boolean dryRun) {
      return publisher.publish(declaration, dryRun);
    }

    @Override
    public PublishReply withdraw(List<String> hashes) {
      return publisher.withdraw(hashes);
    }

    @Override
    public void drain() {
      EntryInstance.this.drain();
    }
  }
}
