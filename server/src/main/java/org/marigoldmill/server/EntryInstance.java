package org.marigoldmill.server;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.MessageOrBuilder;
import java.util.ArrayDeque;
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
import org.marigoldmill.server.operator.Shown;
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
  private static final long CONTROL_MS = 100;
  private static final long WATCH_MS = 200;
  private static final long TIMER_MS = 20;
  private static final long DRAIN_POLL_MS = 20;

  private final ServeSettings settings;
  private final Clock clock = Clock.monotonic();
  private final Deque<AutoCloseable> parts = new ArrayDeque<>();
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
  private volatile boolean refusing;

  private EntryInstance(ServeSettings settings) {
    this.settings = settings;
    final long incarnation = System.currentTimeMillis();
    final String process = settings.getInstance() + "#" + incarnation;
    this.upstreams = UpstreamTable.with(RandomGenerator.getDefault());
    this.members = MemberTable.of(self(incarnation), settings.getFailureTimeoutMs(), clock.now());
    this.client = opened(HttpClient.create("client-" + settings.getInstance(), 2));
    HttpClient control = opened(HttpClient.create("control-" + settings.getInstance(), 1));
    PlatformClient platform = new PlatformClient(control, settings.getPlatform());
    this.instances = new Instances(platform, upstreams);
    this.ledger = new UsageLedger(settings.getZone(), process, clock);
    LogFollower follower = new LogFollower(platform, state, clock);
    LogAppender appender = opened(new LogAppender(platform, process));
    this.knowledge = new Knowledge(follower::contactAt, members, instances, clock);
    PeerClient peers = opened(new PeerClient());
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
    opened(new PeerServer(settings.getPeerAddress(), new PeerAnswers()));
    opened(new OperatorServer(settings.getOperatorAddress(), new OperatorAnswers(), metrics));
    registerGauges();
    startDuties(follower, watch, platform, appender, process);
  }

  /** Starts an instance. */
  public static EntryInstance start(ServeSettings settings) {
    EntryInstance instance = new EntryInstance(settings);
    logger.atInfo().log("entry instance %s serves", settings.getInstance());
    return instance;
  }

  /** Starts a graceful shutdown and returns at once. */
  public void drain() {
    if (draining.compareAndSet(false, true)) {
      Thread thread = new Thread(this::drainFully, "drain");
      thread.start();
    }
  }

  /** Waits until the instance has stopped. */
  public void awaitStopped() throws InterruptedException {
    stopped.await();
  }

  /** Stops at once, without a grace for open calls. */
  @Override
  public void close() {
    while (!parts.isEmpty()) {
      closeQuietly(parts.pop());
    }
    stopped.countDown();
  }

  private MemberEntry self(long incarnation) {
    return MemberEntry.newBuilder()
        .setName(settings.getInstance())
        .setZone(settings.getZone())
        .setAddress(settings.getPeerAddress())
        .setIncarnation(incarnation)
        .build();
  }

  private LeaseDuty leases(String process, LogAppender appender) {
    List<LeaseElector> keepers =
        List.of(
            keeper(LeaseScopes.ordering(settings.getZone()), process),
            keeper(LeaseScopes.billing(settings.getZone()), process),
            keeper(LeaseScopes.SNAPSHOT, process));
    return new LeaseDuty(keepers, state, appender, members, clock);
  }

  private LeaseElector keeper(String scope, String process) {
    return LeaseElector.of(
        scope, process, settings.getLeaseTtlMs(), settings.getLeaseGuardMs(), clock.now());
  }

  private JobDirectory jobs(String process, PeerClient peers, EngineWatch watch) {
    RolloutFactory factory =
        opened(
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
    return opened(
        new JobDirectory(
            state, members, peers, instances, clock, job -> factory.start(job, this::replicate)));
  }

  private void replicate(String job, long step, SampleGroup group) {
    jobs.replicate(job, step, group);
  }

  private CallServer callServer() {
    Tracing tracing = opened(new Tracing(settings.getInstance(), Optional.empty()));
    CallHandler.Parts callParts =
        new CallHandler.Parts(
            upstreams,
            client,
            ledger,
            metrics,
            tracing,
            claims,
            new Quarantine(suspects, client, exchange::broadcast, clock),
            clock,
            settings.getZone());
    DrawHandler draws = opened(new DrawHandler(jobs));
    return opened(
        new CallServer(settings, state, callParts, draws, knowledge::ageMs, () -> refusing));
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
    metrics.registerGauge("open_calls", "Calls and draws in progress", () -> calls.open());
  }

  private void startDuties(
      LogFollower follower,
      EngineWatch watch,
      PlatformClient platform,
      LogAppender appender,
      String process) {
    duty(0, "log-follower", follower::readOnce);
    duty(settings.getListIntervalMs(), "instance-list", instances::readOnce);
    duty(settings.getExchangeIntervalMs(), "peer-exchange", exchange::runRound);
    duty(WATCH_MS, "engine-watch", () -> watch.readOnce(instances.upstreams()));
    duty(CONTROL_MS, "leases", leases::runRound);
    duty(CONTROL_MS, "ordering", ordering(platform, appender, process)::runRound);
    duty(CONTROL_MS, "billing", billing(platform, appender, process)::runRound);
    duty(CONTROL_MS, "snapshots", snapshots(appender)::runRound);
    duty(CONTROL_MS, "withdrawals", publisher::runRound);
    duty(CONTROL_MS, "jobs", jobs::runRound);
    duty(TIMER_MS, "call-timer", calls::runRound);
  }

  private OrderingDuty ordering(PlatformClient platform, LogAppender appender, String process) {
    return new OrderingDuty(
        settings.getZone(),
        process,
        settings.getSendLimitMs(),
        leases.keeper(LeaseScopes.ordering(settings.getZone())),
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
        leases.keeper(LeaseScopes.billing(settings.getZone())),
        state,
        ledger,
        platform,
        appender,
        clock);
  }

  private SnapshotDuty snapshots(LogAppender appender) {
    return new SnapshotDuty(
        settings.getSnapshotEveryRecords(),
        leases.keeper(LeaseScopes.SNAPSHOT),
        state,
        appender,
        clock);
  }

  private void duty(long pauseMs, String name, PeriodicTask.Action round) {
    opened(PeriodicTask.start(pauseMs, name, round));
  }

  private void drainFully() {
    logger.atInfo().log("drains");
    ready = false;
    members.leave();
    exchange.broadcast();
    Pause.millis(settings.getDrainNoticeMs());
    refusing = true;
    long until = clock.now() + settings.getDrainTimeoutMs();
    while (calls.open() > 0 && clock.now() < until) {
      Pause.millis(DRAIN_POLL_MS);
    }
    leases.releaseAll();
    exchange.broadcast();
    Pause.millis(CONTROL_MS);
    close();
    logger.atInfo().log("stopped");
  }

  private <T extends AutoCloseable> T opened(T part) {
    parts.push(part);
    return part;
  }

  private static void closeQuietly(AutoCloseable part) {
    try {
      part.close();
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("close");
    }
  }

  private final class PeerAnswers implements PeerServer.Answers {
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
      return jobs.drawHere(request);
    }

    @Override
    public void hold(HeldBatch batch) {
      jobs.hold(batch);
    }

    @Override
    public HeldBatch held(HeldRequest request) {
      return jobs.held(request);
    }

    @Override
    public boolean claimRun(RunClaim claim) {
      return claims.answer(claim);
    }
  }

  private final class OperatorAnswers implements OperatorServer.Answers {
    @Override
    public boolean ready() {
      return ready && state.config().revision() > 0 && instances.isLoaded();
    }

    @Override
    public MessageOrBuilder show(String what) {
      return new Shown(state, members, knowledge, jobs, ledger, instances, upstreams, clock)
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
