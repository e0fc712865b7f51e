package org.marigoldmill.core.membership;

import static java.util.stream.Collectors.partitioningBy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.marigoldmill.schema.peer.MemberEntry;

/**
 * Gossip-based membership and failure detection of entry instances.
 *
 * <p>A member is considered failed once its heartbeat has not advanced for the failure timeout on
 * the clock of this process, whichever path the heartbeats take. Lost links therefore do not matter
 * while any path is left. After a pause of this process all heartbeat ages restart at zero.
 */
public final class MemberTable {
  private static final int PAUSE_DETECTION_DIVISOR = 2;

  /** Liveness of a member. */
  public enum Status {
    LIVE,
    LEAVING,
    FAILED
  }

  /** A member with its liveness. */
  public record Member(MemberEntry entry, Status status) {}

  private record Tracked(MemberEntry entry, long advancedAtMs) {}

  private final long failureTimeoutMs;
  private final Map<String, Tracked> members = new TreeMap<>();
  private MemberEntry self;
  private long lastTickMs;

  private MemberTable(MemberEntry self, long failureTimeoutMs, long nowMs) {
    this.self = self;
    this.failureTimeoutMs = failureTimeoutMs;
    this.lastTickMs = nowMs;
  }

  /**
   * Creates the table of a process that knows only itself.
   *
   * @param self this process
   * @param failureTimeoutMs time without heartbeat after which a member is failed, in milliseconds
   * @param nowMs present time of a monotonic clock, in milliseconds
   * @return the table
   */
  public static MemberTable of(MemberEntry self, long failureTimeoutMs, long nowMs) {
    return new MemberTable(self, failureTimeoutMs, nowMs);
  }

  /**
   * Advances the heartbeat of this process, and removes members that failed long ago.
   *
   * <p>An interval between ticks of more than half the failure timeout means that this process was
   * paused; the others are then not considered silent for that time.
   */
  public synchronized void tick(long nowMs) {
    if (nowMs - lastTickMs > failureTimeoutMs / PAUSE_DETECTION_DIVISOR) {
      members.replaceAll((name, m) -> new Tracked(m.entry(), nowMs));
    }
    lastTickMs = nowMs;
    self = self.toBuilder().setHeartbeat(self.getHeartbeat() + 1).build();
    members
        .values()
        .removeIf(m -> nowMs - m.advancedAtMs() > failureTimeoutMs * 20 && !isSelf(m.entry()));
  }

  /** Marks this process as leaving in all further digests. */
  public synchronized void leave() {
    self = self.toBuilder().setLeaving(true).setHeartbeat(self.getHeartbeat() + 1).build();
  }

  /** Merges the entries of a digest from a peer. */
  public synchronized void merge(Collection<MemberEntry> entries, long nowMs) {
    entries.stream().filter(e -> !isSelf(e)).forEach(e -> mergeEntry(e, nowMs));
  }

  /**
   * Returns the entries to send to a peer: self, and a sample of the members that have not failed.
   *
   * <p>A table within the limit is sent whole. Of a larger one a sample is sent, two thirds of it
   * from the zone of this process, so that messages do not grow with the number of members.
   *
   * @param nowMs present time in milliseconds
   * @param limit maximum number of entries
   * @param random random source of the sample
   * @return the entries, self first
   */
  public synchronized List<MemberEntry> digest(long nowMs, int limit, RandomGenerator random) {
    Map<Boolean, List<MemberEntry>> byZone =
        members.values().stream()
            .filter(m -> nowMs - m.advancedAtMs() <= failureTimeoutMs)
            .map(Tracked::entry)
            .collect(partitioningBy(e -> e.getZone().equals(self.getZone())));
    List<MemberEntry> sameZone = byZone.get(true);
    List<MemberEntry> otherZones = byZone.get(false);
    int otherZonesLimit = Math.max((limit - 1) / 3, limit - 1 - sameZone.size());
    int sameZoneLimit = limit - 1 - Math.min(otherZonesLimit, otherZones.size());
    List<MemberEntry> entries = new ArrayList<>(List.of(self));
    entries.addAll(sample(sameZone, sameZoneLimit, random));
    entries.addAll(sample(otherZones, otherZonesLimit, random));
    return entries;
  }

  /** Returns all members, including this process, sorted by name. */
  public synchronized List<Member> members(long nowMs) {
    Stream<Member> others =
        members.values().stream().map(m -> new Member(m.entry(), status(m, nowMs)));
    Member own = new Member(self, self.getLeaving() ? Status.LEAVING : Status.LIVE);
    return Stream.concat(Stream.of(own), others)
        .sorted(Comparator.comparing(m -> m.entry().getName()))
        .toList();
  }

  /** Returns the live members, including this process, sorted by name. */
  public List<MemberEntry> live(long nowMs) {
    return members(nowMs).stream()
        .filter(m -> m.status() == Status.LIVE)
        .map(Member::entry)
        .toList();
  }

  /**
   * Returns the time since the heartbeat of a member last advanced, in milliseconds; very large if
   * unknown.
   */
  public synchronized long heartbeatAgeMs(String name, long nowMs) {
    if (name.equals(self.getName())) {
      return 0;
    }
    Tracked member = members.get(name);
    return member == null ? Long.MAX_VALUE / 4 : nowMs - member.advancedAtMs();
  }

  /** Returns the entry of this process. */
  public synchronized MemberEntry self() {
    return self;
  }

  private static List<MemberEntry> sample(
      List<MemberEntry> from, int count, RandomGenerator random) {
    if (from.size() <= count) {
      return from;
    }
    List<MemberEntry> shuffled = new ArrayList<>(from);
    for (int i = 0; i < count; i++) {
      Collections.swap(shuffled, i, i + random.nextInt(shuffled.size() - i));
    }
    return shuffled.subList(0, count);
  }

  private void mergeEntry(MemberEntry entry, long nowMs) {
    Tracked known = members.get(entry.getName());
    if (known == null || isNewer(entry, known.entry())) {
      members.put(entry.getName(), new Tracked(entry, nowMs));
    }
  }

  private static boolean isNewer(MemberEntry a, MemberEntry b) {
    if (a.getIncarnation() != b.getIncarnation()) {
      return a.getIncarnation() > b.getIncarnation();
    }
    return a.getHeartbeat() > b.getHeartbeat();
  }

  private Status status(Tracked member, long nowMs) {
    if (nowMs - member.advancedAtMs() > failureTimeoutMs) {
      return Status.FAILED;
    }
    return member.entry().getLeaving() ? Status.LEAVING : Status.LIVE;
  }

  private boolean isSelf(MemberEntry entry) {
    return entry.getName().equals(self.getName());
  }
}
