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
 * Tracks, for each suspect request, the upstreams that crashed while they ran it.
 *
 * <p>A request that has crashed {@value #QUARANTINE_THRESHOLD} different upstreams is quarantined
 * for 10 minutes. Processes exchange their suspects and merge them by union, so that crashes seen
 * by different processes add up. A request that an upstream has answered is no longer suspect,
 * unless it is quarantined already.
 */
public final class SuspectTable {
  /** Number of different upstreams after whose crashes a request is quarantined. */
  public static final int QUARANTINE_THRESHOLD = 2;

  private static final long RETENTION_MS = 600_000;
  private static final int MAX_SUSPECTS = 4_096;
  private static final int MAX_SUSPECTS_PER_MESSAGE = 64;

  private record Crashes(Set<String> upstreams, long lastCrashAtMs) {}

  private final Map<String, Crashes> byFingerprint = new HashMap<>();

  /**
   * Records that an upstream crashed while it ran a request.
   *
   * @param fingerprint fingerprint of the request
   * @param upstream name of the upstream
   * @param nowMs present time in milliseconds
   * @return whether the request is now quarantined
   */
  public synchronized boolean recordCrash(String fingerprint, String upstream, long nowMs) {
    add(fingerprint, Set.of(upstream), nowMs);
    return isQuarantined(fingerprint, nowMs);
  }

  /** Records that an upstream has answered a request; lifts the suspicion, but no quarantine. */
  public synchronized void recordSuccess(String fingerprint, long nowMs) {
    if (!isQuarantined(fingerprint, nowMs)) {
      byFingerprint.remove(fingerprint);
    }
  }

  /** Returns whether no request is suspect, in which case callers need not compute fingerprints. */
  public synchronized boolean isEmpty() {
    return byFingerprint.isEmpty();
  }

  /** Returns whether a request is quarantined and must not run. */
  public synchronized boolean isQuarantined(String fingerprint, long nowMs) {
    Crashes crashes = byFingerprint.get(fingerprint);
    return crashes != null
        && nowMs - crashes.lastCrashAtMs() <= RETENTION_MS
        && crashes.upstreams().size() >= QUARANTINE_THRESHOLD;
  }

  /** Merges the suspects of a peer; their ages are relative to {@code nowMs}. */
  public synchronized void merge(Collection<Suspect> suspects, long nowMs) {
    suspects.forEach(
        s -> add(s.getFingerprint(), Set.copyOf(s.getUpstreamsList()), nowMs - s.getAgeMs()));
  }

  /** Returns the most recent suspects, at most as many as one message to a peer carries. */
  public synchronized List<Suspect> recentSuspects(long nowMs) {
    return byFingerprint.entrySet().stream()
        .filter(e -> nowMs - e.getValue().lastCrashAtMs() <= RETENTION_MS)
        .sorted(Comparator.comparingLong(e -> -e.getValue().lastCrashAtMs()))
        .limit(MAX_SUSPECTS_PER_MESSAGE)
        .map(e -> toMessage(e.getKey(), e.getValue(), nowMs))
        .toList();
  }

  private void add(String fingerprint, Set<String> upstreams, long crashedAtMs) {
    Crashes known = byFingerprint.get(fingerprint);
    if (known == null && byFingerprint.size() >= MAX_SUSPECTS) {
      evictOldest();
    }
    Set<String> all = new TreeSet<>(upstreams);
    long lastCrashAtMs = crashedAtMs;
    if (known != null) {
      all.addAll(known.upstreams());
      lastCrashAtMs =
          all.size() > known.upstreams().size()
              ? Math.max(crashedAtMs, known.lastCrashAtMs())
              : known.lastCrashAtMs();
    }
    byFingerprint.put(fingerprint, new Crashes(all, lastCrashAtMs));
  }

  private void evictOldest() {
    byFingerprint.entrySet().stream()
        .min(Comparator.comparingLong(e -> e.getValue().lastCrashAtMs()))
        .map(Map.Entry::getKey)
        .ifPresent(byFingerprint::remove);
  }

  private static Suspect toMessage(String fingerprint, Crashes crashes, long nowMs) {
    return Suspect.newBuilder()
        .setFingerprint(fingerprint)
        .addAllUpstreams(crashes.upstreams())
        .setAgeMs(Math.max(0, nowMs - crashes.lastCrashAtMs()))
        .build();
  }
}
