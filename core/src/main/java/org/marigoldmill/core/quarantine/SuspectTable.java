package org.marigoldmill.core.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.marigoldmill.schema.peer.Suspect;

/**
 * Counts, for each request, the upstreams that crashed while they ran it.
 *
 * <p>After two different upstreams the request is quarantined for a while. Counts of several
 * processes merge by union, so that each process may have seen one crash only. A request that an
 * upstream has survived is no suspect any more.
 */
public final class SuspectTable {
  /** Upstreams that a request may crash before it is quarantined. */
  public static final int QUARANTINE_THRESHOLD = 2;

  private static final long KEPT_MS = 600_000;
  private static final int MOST_KEPT = 4_096;
  private static final int MOST_TOLD = 64;

  private record Crashes(Set<String> upstreams, long at) {}

  private final Map<String, Crashes> byFingerprint = new HashMap<>();

  /**
   * Notes that an upstream crashed while it ran a request.
   *
   * @param fingerprint identity of the request
   * @param upstream name of the upstream
   * @param now present time in milliseconds
   * @return whether the request is quarantined now
   */
  public synchronized boolean recordCrash(String fingerprint, String upstream, long now) {
    add(fingerprint, Set.of(upstream), now);
    return isQuarantined(fingerprint, now);
  }

  /** Notes that an upstream has answered a request. */
  public synchronized void recordSuccess(String fingerprint, long now) {
    if (!isQuarantined(fingerprint, now)) {
      byFingerprint.remove(fingerprint);
    }
  }

  /** Returns whether no request is suspected, so that none needs its fingerprint looked up. */
  public synchronized boolean isEmpty() {
    return byFingerprint.isEmpty();
  }

  /** Returns whether a request must not run. */
  public synchronized boolean isQuarantined(String fingerprint, long now) {
    Crashes crashes = byFingerprint.get(fingerprint);
    return crashes != null
        && now - crashes.at() <= KEPT_MS
        && crashes.upstreams().size() >= QUARANTINE_THRESHOLD;
  }

  /** Takes in what a peer has counted. */
  public synchronized void merge(Collection<Suspect> suspects, long now) {
    suspects.forEach(
        s -> add(s.getFingerprint(), Set.copyOf(s.getUpstreamsList()), now - s.getAgeMs()));
  }

  /** Returns the latest counts, for a message of bounded size. */
  public synchronized List<Suspect> recentSuspects(long now) {
    return byFingerprint.entrySet().stream()
        .filter(e -> now - e.getValue().at() <= KEPT_MS)
        .sorted(Comparator.comparingLong(e -> -e.getValue().at()))
        .limit(MOST_TOLD)
        .map(e -> toMessage(e.getKey(), e.getValue(), now))
        .toList();
  }

  private void add(String fingerprint, Set<String> upstreams, long at) {
    Crashes known = byFingerprint.get(fingerprint);
    if (known == null && byFingerprint.size() >= MOST_KEPT) {
      dropOldest();
    }
    Set<String> all = new TreeSet<>(upstreams);
    long latest = at;
    if (known != null) {
      all.addAll(known.upstreams());
      latest = all.size() > known.upstreams().size() ? Math.max(at, known.at()) : known.at();
    }
    byFingerprint.put(fingerprint, new Crashes(all, latest));
  }

  private void dropOldest() {
    byFingerprint.entrySet().stream()
        .min(Comparator.comparingLong(e -> e.getValue().at()))
        .map(Map.Entry::getKey)
        .ifPresent(byFingerprint::remove);
  }

  private static Suspect toMessage(String fingerprint, Crashes crashes, long now) {
    return Suspect.newBuilder()
        .setFingerprint(fingerprint)
        .addAllUpstreams(crashes.upstreams())
        .setAgeMs(Math.max(0, now - crashes.at()))
        .build();
  }
}
