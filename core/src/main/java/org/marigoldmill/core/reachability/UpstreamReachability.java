package org.marigoldmill.core.reachability;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Decides whether this instance has lost its path to all upstreams, or single upstreams have
 * failed.
 *
 * <p>The path counts as lost once new connections to {@value #LOST_AFTER} different upstreams, or
 * to all if there are fewer, have failed one after the other and none has been established in
 * between. Single failures and silence only make probes due, to upstreams chosen at random. One
 * established connection ends the loss, so a wrong verdict lasts for one round of probes.
 *
 * <p>Answers the load of every connection and every call of an instance. A report costs the same
 * however many upstreams there are; probes are bounded in number and rate. Times are readings of a
 * monotonic clock in milliseconds.
 */
public final class UpstreamReachability {
  /** What is known of the path to the upstreams. */
  public enum Path {
    /** The newest evidence is of an upstream that is reached, or there is none. */
    OPEN,
    /** Some upstream has not been reached since another one was. */
    SUSPECT,
    /** No upstream is reached. */
    LOST
  }

  private static final int LOST_AFTER = 5;

  /** Time for which a failure counts, unless a connection is established before. */
  private static final long MEMORY_MS = 2_000;

  /** Silence of all upstreams, while calls are open, after which it is checked who is at fault. */
  private static final long SILENCE_MS = 300;

  /** Silence of all upstreams after which calls are not waited for once the path is lost. */
  private static final long ABANDON_AFTER_MS = 250;

  private static final long SUSPECT_PROBE_INTERVAL_MS = 150;
  private static final long SILENCE_PROBE_INTERVAL_MS = 600;
  private static final long LOST_PROBE_INTERVAL_MS = 200;

  /** Once the path has been lost for so long, its return is looked for less often. */
  private static final long LONG_LOST_MS = 1_000;

  private static final long LONG_LOST_PROBE_INTERVAL_MS = 600;
  private static final int PROBES = 4;
  private static final int LOST_PROBES = 2;

  /** Probes after a single failure or a silence, which most often are those of one upstream. */
  private static final int FIRST_PROBES = 1;

  private final Map<String, Long> unreached = new HashMap<>();
  private int upstreams = LOST_AFTER;
  private int openCalls;
  private long quietSinceMs;
  private long heardAtMs;
  private long connectedAtMs;
  private long probedAtMs;
  private boolean lost;
  private boolean lastRefused;
  private long lostAtMs;

  /** Creates the state of an instance that has contacted no upstream yet. */
  public UpstreamReachability(long nowMs) {
    this.quietSinceMs = nowMs;
    this.heardAtMs = nowMs;
    this.connectedAtMs = nowMs - MEMORY_MS;
    this.probedAtMs = nowMs - SILENCE_PROBE_INTERVAL_MS;
  }

  /** Sets the number of upstreams that this instance knows. */
  public synchronized void upstreamCount(int count) {
    upstreams = count;
  }

  /** Records that a call to an upstream has started. */
  public synchronized void recordCallStarted(long nowMs) {
    if (openCalls == 0) {
      quietSinceMs = nowMs;
    }
    openCalls++;
  }

  /** Records the end of a call, whatever its outcome. */
  public synchronized void recordCallEnded() {
    openCalls--;
  }

  /** Records that bytes of an upstream have arrived, on a connection of any age. */
  public synchronized void recordHeard(long nowMs) {
    quietSinceMs = nowMs;
    heardAtMs = nowMs;
  }

  /** Records that a new connection to an upstream has been established. */
  public synchronized void recordConnected(long nowMs) {
    unreached.clear();
    connectedAtMs = nowMs;
    recordHeard(nowMs);
    lost = false;
  }

  /**
   * Records that a new connection has been refused, or not established in time.
   *
   * <p>It tells nothing of the path if another connection was established after the attempt began.
   *
   * @param startedAtMs when the attempt began
   * @param refused whether it was refused, so that something still comes back on the path
   */
  public synchronized void recordUnreached(
      String address, long startedAtMs, boolean refused, long nowMs) {
    if (startedAtMs < connectedAtMs) {
      return;
    }
    lastRefused = refused;
    unreached.values().removeIf(at -> nowMs - at > MEMORY_MS);
    if (unreached.size() < LOST_AFTER) {
      unreached.put(address, nowMs);
    }
    if (!lost && unreached.size() >= Math.max(1, Math.min(LOST_AFTER, upstreams))) {
      lost = true;
      lostAtMs = nowMs;
    }
  }

  /** Returns what is known of the path. */
  public synchronized Path path(long nowMs) {
    if (lost) {
      return Path.LOST;
    }
    boolean recent = unreached.values().stream().anyMatch(at -> nowMs - at <= MEMORY_MS);
    return recent ? Path.SUSPECT : Path.OPEN;
  }

  /** Returns the time at which a new connection to an upstream was last established. */
  public synchronized long connectedAtMs() {
    return connectedAtMs;
  }

  /** Returns for how long no byte of any upstream has arrived while calls are open; else 0. */
  public synchronized long quietMs(long nowMs) {
    return openCalls == 0 ? 0 : nowMs - quietSinceMs;
  }

  /**
   * Returns whether calls in progress are to be given up, because nothing comes back any more.
   *
   * <p>While new connections are refused, those that are open are either reset or live on, and a
   * call that is silent there may only be slow.
   */
  public synchronized boolean abandonsCalls(long nowMs) {
    return lost && !lastRefused && quietMs(nowMs) >= ABANDON_AFTER_MS;
  }

  /**
   * Returns the upstreams to which a connection is to be tried now; none while there is no doubt.
   *
   * @param addresses addresses of all upstreams that this instance knows
   */
  public synchronized Set<String> probesDue(
      List<String> addresses, RandomGenerator random, long nowMs) {
    Path path = path(nowMs);
    int count = probeCount(path, nowMs - probedAtMs, nowMs);
    if (count == 0 || addresses.isEmpty()) {
      return Set.of();
    }
    probedAtMs = nowMs;
    return sample(addresses, path == Path.SUSPECT, count, random);
  }

  private int probeCount(Path path, long sinceProbedMs, long nowMs) {
    return switch (path) {
      case LOST -> lostProbes(sinceProbedMs, nowMs - lostAtMs);
      case SUSPECT -> sinceProbedMs >= SUSPECT_PROBE_INTERVAL_MS ? suspectProbes(nowMs) : 0;
      case OPEN ->
          sinceProbedMs >= SILENCE_PROBE_INTERVAL_MS && quietMs(nowMs) >= SILENCE_MS
              ? FIRST_PROBES
              : 0;
    };
  }

  private static int lostProbes(long sinceProbedMs, long lostMs) {
    boolean longLost = lostMs >= LONG_LOST_MS;
    long intervalMs = longLost ? LONG_LOST_PROBE_INTERVAL_MS : LOST_PROBE_INTERVAL_MS;
    return sinceProbedMs < intervalMs ? 0 : longLost ? 1 : LOST_PROBES;
  }

  /** An upstream that fails while others are heard of is checked with a single probe at first. */
  private int suspectProbes(long nowMs) {
    boolean othersHeard = nowMs - heardAtMs < SILENCE_MS;
    return othersHeard && unreached.size() == 1 ? FIRST_PROBES : PROBES;
  }

  /** Samples a bounded number of times, so that the cost does not grow with the upstreams. */
  private Set<String> sample(
      List<String> addresses, boolean onlyOthers, int count, RandomGenerator random) {
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < 4 * count && chosen.size() < count; i++) {
      String address = addresses.get(random.nextInt(addresses.size()));
      if (!onlyOthers || !unreached.containsKey(address)) {
        chosen.add(address);
      }
    }
    return chosen;
  }
}
