package org.marigoldmill.server.usage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.marigoldmill.core.usage.UsageWindows;
import org.marigoldmill.schema.log.Usage;
import org.marigoldmill.schema.log.UsageCounter;
import org.marigoldmill.server.Clock;

/**
 * Cumulative usage counters of this process and of its peers.
 *
 * <p>Counters only grow and merge by maximum, so values that arrive late, twice or out of order
 * converge to the same sum.
 */
public final class UsageLedger {
  private record PeerCounter(UsageCounter counter, long observedAtMs) {}

  private final String source;
  private final Clock clock;
  private final Map<String, Usage> own = new TreeMap<>();
  private final Map<String, PeerCounter> peerCounters = new TreeMap<>();

  /**
   * Creates a ledger.
   *
   * @param zone availability zone of this process
   * @param process identity of this process, unique for each start
   * @param clock monotonic clock
   */
  public UsageLedger(String zone, String process, Clock clock) {
    this.source = zone + "/" + process;
    this.clock = clock;
  }

  /** Adds usage of an organisation to the counter of this process. */
  public synchronized void add(String organisation, long requests, long tokens) {
    Usage before = own.getOrDefault(organisation, Usage.getDefaultInstance());
    own.put(
        organisation,
        Usage.newBuilder()
            .setOrganisation(organisation)
            .setRequests(before.getRequests() + requests)
            .setTokens(before.getTokens() + tokens)
            .build());
  }

  /** Merges counters received from a peer, with their ages at that peer. */
  public synchronized void merge(Collection<UsageCounter> counters) {
    long now = clock.now();
    counters.stream().filter(c -> !c.getSource().equals(source)).forEach(c -> mergeOne(c, now));
  }

  /** Returns all known counters, each with its age in milliseconds. */
  public synchronized List<UsageCounter> counters() {
    long now = clock.now();
    UsageCounter mine =
        UsageCounter.newBuilder().setSource(source).addAllUsage(own.values()).build();
    List<UsageCounter> all = new ArrayList<>(List.of(mine));
    peerCounters
        .values()
        .forEach(r -> all.add(r.counter().toBuilder().setAgeMs(now - r.observedAtMs()).build()));
    return all;
  }

  /** Returns the own counter and random others, at most {@code limit} in total. */
  public List<UsageCounter> sample(int limit, RandomGenerator random) {
    List<UsageCounter> all = new ArrayList<>(counters());
    for (int i = 1; i < Math.min(limit, all.size()); i++) {
      Collections.swap(all, i, i + random.nextInt(all.size() - i));
    }
    return all.subList(0, Math.min(limit, all.size()));
  }

  /** Returns the counters of the processes in an availability zone. */
  public List<UsageCounter> countersInZone(String zone) {
    return counters().stream().filter(c -> c.getSource().startsWith(zone + "/")).toList();
  }

  private void mergeOne(UsageCounter counter, long now) {
    long observedAtMs = now - counter.getAgeMs();
    PeerCounter known = peerCounters.get(counter.getSource());
    if (known == null) {
      peerCounters.put(counter.getSource(), new PeerCounter(counter, observedAtMs));
      return;
    }
    UsageCounter merged =
        known.counter().toBuilder()
            .clearUsage()
            .addAllUsage(
                UsageWindows.maxByOrganisation(
                    known.counter().getUsageList(), counter.getUsageList()))
            .build();
    peerCounters.put(
        counter.getSource(), new PeerCounter(merged, Math.max(observedAtMs, known.observedAtMs())));
  }
}
