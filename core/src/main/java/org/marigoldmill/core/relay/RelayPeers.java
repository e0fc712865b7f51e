package org.marigoldmill.core.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.marigoldmill.core.placement.AllowedZones;

/**
 * Chooses the instance that carries a request which this instance cannot send to an upstream.
 *
 * <p>Two instances are sampled and the one that carries fewer requests of this instance is chosen,
 * so that without a coordinator the requests of many instances spread evenly. Other availability
 * zones go first: what has cut this instance off may have cut off its zone, whose other instances
 * notice only with their next request. An instance that refuses, or is lost, is passed over for a
 * time.
 *
 * <p>Answers the load of a zone, or of all instances but a few, that are cut off at the same
 * moment. A choice costs the same however many instances there are. Times are readings of a
 * monotonic clock in milliseconds.
 */
public final class RelayPeers {
  private static final int SAMPLE_SIZE = 8;
  private static final long REFUSAL_BACKOFF_MS = 200;
  private static final long MIN_LOSS_BACKOFF_MS = 250;
  private static final long MAX_LOSS_BACKOFF_MS = 30_000;
  private static final int MAX_DOUBLINGS = 7;

  /** Instances that are looked at in order when none that was sampled can be chosen. */
  private static final int MAX_SCANNED = 64;

  /**
   * Another instance.
   *
   * @param address address at which it takes requests of other instances
   * @param reachesUpstreams whether it reaches upstreams, as far as it has told
   */
  public record Peer(String name, String zone, String address, boolean reachesUpstreams) {}

  private static final class Load {
    private int carried;
    private int losses;
    private long backoffUntilMs = Long.MIN_VALUE;
  }

  private final String self;
  private final String zone;
  private final RandomGenerator random;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<String, Load> loads = new HashMap<>();
  private List<Peer> ownZone = List.of();
  private List<Peer> otherZones = List.of();

  /**
   * Creates an empty table.
   *
   * @param self name of this instance
   * @param zone availability zone of this instance
   */
  public RelayPeers(String self, String zone, RandomGenerator random) {
    this.self = Objects.requireNonNull(self, "self");
    this.zone = Objects.requireNonNull(zone, "zone");
    this.random = random;
  }

  /** Adds an instance, or replaces what is known of it; this instance itself is ignored. */
  public synchronized void put(Peer peer) {
    if (peer.name().equals(self) || peer.equals(peers.put(peer.name(), peer))) {
      return;
    }
    load(peer.name()).backoffUntilMs = Long.MIN_VALUE;
    rebuildIndex();
  }

  /** Removes an instance. */
  public synchronized void remove(String name) {
    if (peers.remove(name) != null) {
      loads.remove(name);
      rebuildIndex();
    }
  }

  /** Removes all instances. */
  public synchronized void clear() {
    peers.clear();
    rebuildIndex();
  }

  /** Returns whether another instance is known to reach upstreams. */
  public synchronized boolean anyReachesUpstreams() {
    return !ownZone.isEmpty() || !otherZones.isEmpty();
  }

  /**
   * Chooses an instance and counts one request as carried by it.
   *
   * @param excluded names of instances that must not be chosen
   * @param zones zones to whose instances the request may be sent
   * @return the instance, or empty if none is known that can carry the request
   */
  public synchronized Optional<Peer> acquire(Set<String> excluded, AllowedZones zones, long nowMs) {
    Predicate<Peer> usable = p -> zones.includes(p.zone()) && isUsable(p, excluded, nowMs);
    Optional<Peer> chosen = choose(otherZones, usable).or(() -> choose(ownZone, usable));
    chosen.ifPresent(p -> load(p.name()).carried++);
    return chosen;
  }

  /** Records that an instance has answered a request. */
  public synchronized void recordAnswered(String name) {
    Load load = release(load(name));
    load.losses = 0;
  }

  /** Records that an instance has refused a request, which has not run. */
  public synchronized void recordRefused(String name, long nowMs) {
    Load load = release(load(name));
    load.backoffUntilMs = nowMs + REFUSAL_BACKOFF_MS;
  }

  /** Records that an instance was not reached, or did not answer. */
  public synchronized void recordLost(String name, long nowMs) {
    Load load = release(load(name));
    long backoffMs = MIN_LOSS_BACKOFF_MS << Math.min(load.losses, MAX_DOUBLINGS);
    load.losses++;
    load.backoffUntilMs = nowMs + Math.min(backoffMs, MAX_LOSS_BACKOFF_MS);
  }

  /** Records the end of a request that says nothing about the instance. */
  public synchronized void release(String name) {
    release(load(name));
  }

  /** An instance that was removed meanwhile starts at 0 again. */
  private static Load release(Load load) {
    load.carried = Math.max(0, load.carried - 1);
    return load;
  }

  private Optional<Peer> choose(List<Peer> from, Predicate<Peer> mayCarry) {
    Peer first = null;
    for (int i = 0; i < SAMPLE_SIZE && !from.isEmpty(); i++) {
      Peer candidate = from.get(random.nextInt(from.size()));
      boolean usable = mayCarry.test(candidate);
      if (usable && first == null) {
        first = candidate;
      } else if (usable && !candidate.equals(first)) {
        boolean fewer = load(candidate.name()).carried < load(first.name()).carried;
        return Optional.of(fewer ? candidate : first);
      }
    }
    return first != null ? Optional.of(first) : scan(from, mayCarry);
  }

  private Optional<Peer> scan(List<Peer> from, Predicate<Peer> mayCarry) {
    int start = from.isEmpty() ? 0 : random.nextInt(from.size());
    return IntStream.range(0, Math.min(MAX_SCANNED, from.size()))
        .mapToObj(i -> from.get((start + i) % from.size()))
        .filter(mayCarry)
        .findFirst();
  }

  private boolean isUsable(Peer peer, Set<String> excluded, long nowMs) {
    return !excluded.contains(peer.name()) && load(peer.name()).backoffUntilMs <= nowMs;
  }

  private void rebuildIndex() {
    Map<Boolean, List<Peer>> byOwnZone =
        peers.values().stream()
            .filter(Peer::reachesUpstreams)
            .collect(Collectors.partitioningBy(p -> p.zone().equals(zone)));
    ownZone = List.copyOf(byOwnZone.get(true));
    otherZones = List.copyOf(byOwnZone.get(false));
  }

  private Load load(String name) {
    return loads.computeIfAbsent(name, n -> new Load());
  }
}
