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
 * Cumulative usage: what this process has counted, and what its peers have told of theirs.
 *
 * <p>Counters only grow, so figures that arrive late, twice or in any order merge to the same sum.
 */
public final class UsageLedger {
  private record Received(UsageCounter counter, long at) {}

  private final String source;
  private final Clock clock;
  private final Map<String, Usage> own = new TreeMap<>();
  private final Map<String, Received> received = new TreeMap<>();

  /**
   * Creates a ledger.
   *
   * @param zone availability zone of this process
   * @param process this process, different in each of its lives
   * @param clock monotonic clock
   */
  public UsageLedger(String zone, String process, Clock clock) {
    this.source = zone + "/" + process;
    this.clock = clock;
  }

  /** Adds usage of an organisation. */
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

  /** Takes in counters that a peer knows, with their age at the peer. */
  public synchronized void merge(Collection<UsageCounter> counters) {
    long now = clock.now();
    counters.stream().filter(c -> !c.getSource().equals(source)).forEach(c -> mergeOne(c, now));
  }

  /** Returns all counters known, with the age of each. */
  public synchronized List<UsageCounter> counters() {
    long now = clock.now();
    UsageCounter mine =
        UsageCounter.newBuilder().setSource(source).addAllUsage(own.values()).build();
    List<UsageCounter> all = new ArrayList<>(List.of(mine));
    received.values().forEach(r -> all.add(r.counter().toBuilder().setAgeMs(now - r.at()).build()));
    return all;
  }

  /** Returns the own counter and a sample of the others, for a message of bounded size. */
  public List<UsageCounter> sample(int limit, RandomGenerator random) {
    List<UsageCounter> all = new ArrayList<>(counters());
    for (int i = 1; i < Math.min(limit, all.size()); i++) {
      Collections.swap(all, i, i + random.nextInt(all.size() - i));
    }
    return all.subList(0, Math.min(limit, all.size()));
  }

  /** Returns the counters of processes in a zone. */
  public List<UsageCounter> countersOf(String zone) {
    return counters().stream().filter(c -> c.getSource().startsWith(zone + "/")).toList();
  }

  private void mergeOne(UsageCounter counter, long now) {
    long at = now - counter.getAgeMs();
    Received known = received.get(counter.getSource());
    if (known == null) {
      received.put(counter.getSource(), new Received(counter, at));
      return;
    }
    UsageCounter merged =
        known.counter().toBuilder()
            .clearUsage()
            .addAllUsage(
                UsageWindows.maxByOrganisation(
                    known.counter().getUsageList(), counter.getUsageList()))
            .build();
    received.put(counter.getSource(), new Received(merged, Math.max(at, known.at())));
  }
}
