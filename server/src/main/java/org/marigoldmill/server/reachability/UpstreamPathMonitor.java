package org.marigoldmill.server.reachability;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.marigoldmill.core.reachability.UpstreamReachability;
import org.marigoldmill.core.reachability.UpstreamReachability.Path;
import org.marigoldmill.http.Addresses;
import org.marigoldmill.http.Cancellation;
import org.marigoldmill.http.ConnectionObserver;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.EngineRegistry;

/**
 * Observes the connections to all upstreams, and probes some while it is in doubt whether this
 * instance reaches any.
 */
public final class UpstreamPathMonitor implements ConnectionObserver {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval of checks while calls are open or upstreams are not reached. */
  private static final long CHECK_INTERVAL_MS = 100;

  private static final long IDLE_INTERVAL_MS = 1_000;
  private static final long PROBE_TIMEOUT_MS = 150;

  private static final int OTHERS_SAMPLED = 8;
  private static final int OTHERS_PROBED = 2;

  private final EngineRegistry registry;
  private final UpstreamReachability reachability;
  private final RandomGenerator random;
  private final Clock clock;
  private final Set<Watched> watched = ConcurrentHashMap.newKeySet();
  private final Object wakeUp = new Object();
  private boolean woken;
  private Path loggedPath = Path.OPEN;
  private long lostAtMs;

  /** Creates a monitor of the upstreams in a registry. */
  public UpstreamPathMonitor(EngineRegistry registry, RandomGenerator random, Clock clock) {
    this.registry = registry;
    this.random = random;
    this.clock = clock;
    this.reachability = new UpstreamReachability(clock.now());
  }

  /** Returns whether this instance reaches no upstream. */
  public boolean isLost() {
    return reachability.path(clock.now()) == Path.LOST;
  }

  /**
   * Returns whether another upstream than a failed one is reached now, so that the failure is not
   * this instance's; also true if no other one is known.
   *
   * @param failed address of the failed upstream
   */
  public boolean reachesOthers(String failed, HttpClient client) {
    List<String> addresses = registry.addresses();
    List<InetSocketAddress> others =
        random
            .ints(OTHERS_SAMPLED, 0, Math.max(1, addresses.size()))
            .filter(i -> i < addresses.size() && !addresses.get(i).equals(failed))
            .distinct()
            .limit(OTHERS_PROBED)
            .mapToObj(i -> Addresses.parse(addresses.get(i)))
            .toList();
    return others.isEmpty() || client.probe(others, PROBE_TIMEOUT_MS) > 0;
  }

  /** A call in progress that is given up when the path is lost and nothing is heard any more. */
  public final class Watched implements AutoCloseable {
    private final Cancellation cancellation;
    private volatile boolean abandoned;

    private Watched(Cancellation cancellation) {
      this.cancellation = cancellation;
    }

    /** Returns the cancellation to use for the call. */
    public Cancellation cancellation() {
      return cancellation;
    }

    /** Returns whether the call was given up because no upstream is reached. */
    public boolean abandoned() {
      return abandoned;
    }

    @Override
    public void close() {
      watched.remove(this);
    }

    private void abandon() {
      abandoned = true;
      cancellation.cancel();
    }
  }

  /**
   * Watches a call that may be repeated elsewhere, until the result is closed.
   *
   * @param caller cancellation of the request to which the call belongs
   */
  public Watched watch(Cancellation caller) {
    Watched call = new Watched(caller.child());
    watched.add(call);
    return call;
  }

  /**
   * Probes upstreams if that is due, and then waits until it may be due again; meant to be called
   * in a loop.
   */
  public void checkOnce(HttpClient client) throws InterruptedException {
    List<String> addresses = registry.addresses();
    reachability.upstreamCount(addresses.size());
    Set<String> due = reachability.probesDue(addresses, random, clock.now());
    if (!due.isEmpty()) {
      client.probe(due.stream().map(Addresses::parse).toList(), PROBE_TIMEOUT_MS);
    }
    logChange();
    abandonSilentCalls();
    await();
  }

  @Override
  public void connected(InetSocketAddress address) {
    boolean lost = isLost();
    reachability.recordConnected(clock.now());
    if (lost) {
      wake();
    }
  }

  @Override
  public void connectSlow(InetSocketAddress address, long elapsedMs) {
    recordUnreached(address, elapsedMs, false);
  }

  @Override
  public void notConnected(InetSocketAddress address, long elapsedMs, boolean refused) {
    recordUnreached(address, elapsedMs, refused);
  }

  @Override
  public void callStarted() {
    reachability.recordCallStarted(clock.now());
  }

  @Override
  public void bytesReceived() {
    reachability.recordHeard(clock.now());
  }

  @Override
  public void callEnded() {
    reachability.recordCallEnded();
  }

  private void recordUnreached(InetSocketAddress address, long elapsedMs, boolean refused) {
    String name = address.getHostString() + ":" + address.getPort();
    long nowMs = clock.now();
    reachability.recordUnreached(name, nowMs - elapsedMs, refused, nowMs);
    wake();
  }

  /** Logs a loss of the path, and its end. */
  private void logChange() {
    Path path = reachability.path(clock.now());
    if (path == loggedPath) {
      return;
    }
    long nowMs = clock.now();
    boolean lost = path == Path.LOST;
    if (lost || loggedPath == Path.LOST) {
      logger.atInfo().log(
          "upstream path now=%s before=%s quiet_ms=%d since_connected_ms=%d lost_ms=%d",
          path,
          loggedPath,
          reachability.quietMs(nowMs),
          nowMs - reachability.connectedAtMs(),
          lost ? 0 : nowMs - lostAtMs);
      lostAtMs = nowMs;
    }
    loggedPath = path;
  }

  private void abandonSilentCalls() {
    if (reachability.abandonsCalls(clock.now())) {
      watched.forEach(Watched::abandon);
    }
  }

  private void wake() {
    synchronized (wakeUp) {
      woken = true;
      wakeUp.notifyAll();
    }
  }

  private void await() throws InterruptedException {
    boolean idle =
        reachability.path(clock.now()) == Path.OPEN && reachability.quietMs(clock.now()) == 0;
    long untilMs = clock.now() + (idle ? IDLE_INTERVAL_MS : CHECK_INTERVAL_MS);
    synchronized (wakeUp) {
      for (long leftMs = untilMs - clock.now(); leftMs > 0 && !woken; ) {
        wakeUp.wait(leftMs);
        leftMs = untilMs - clock.now();
      }
      woken = false;
    }
  }
}
