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
 * Which entry instances are live, judged by heartbeats that spread from peer to peer.
 *
 * <p>A member counts as failed once its heartbeat has not advanced for the failure timeout by this
 * process's own clock, whichever path the heartbeats take. Lost links therefore do not matter while
 * any path is left. After a pause of this process all ages start anew.
 */
public final class MemberTable {
  private static final int PAUSE_DIVISOR = 2;

  /** Liveness of a member. */
  public enum Status {
    LIVE,
    LEAVING,
    FAILED
  }

  /** A member with its liveness. */
  public record Member(MemberEntry entry, Status status) {}

  private record Tracked(MemberEntry entry, long advancedAt) {}

  private final long failureTimeoutMs;
  private final Map<String, Tracked> members = new TreeMap<>();
  private MemberEntry self;
  private long lastTick;

  private MemberTable(MemberEntry self, long failureTimeoutMs, long now) {
    this.self = self;
    this.failureTimeoutMs = failureTimeoutMs;
    this.lastTick = now;
  }

  /**
   * Creates the table of a process that knows only itself.
   *
   * @param self this process
   * @param failureTimeoutMs silence after which a member counts as failed, in milliseconds
   * @param now present time of a monotonic clock, in milliseconds
   * @return the table
   */
  public static MemberTable of(MemberEntry self, long failureTimeoutMs, long now) {
    return new MemberTable(self, failureTimeoutMs, now);
  }

  /** Advances the own heartbeat; tells a pause of this process from silence of the others. */
  public synchronized void tick(long now) {
    if (now - lastTick > failureTimeoutMs / PAUSE_DIVISOR) {
      members.replaceAll((name, m) -> new Tracked(m.entry(), now));
    }
    lastTick = now;
    self = self.toBuilder().setHeartbeat(self.getHeartbeat() + 1).build();
    members
        .values()
        .removeIf(m -> now - m.advancedAt() > failureTimeoutMs * 20 && !isSelf(m.entry()));
  }

  /** Announces that this process leaves. */
  public synchronized void leave() {
    self = self.toBuilder().setLeaving(true).setHeartbeat(self.getHeartbeat() + 1).build();
  }

  /** Takes in what a peer knows. */
  public synchronized void merge(Collection<MemberEntry> entries, long now) {
    entries.stream().filter(e -> !isSelf(e)).forEach(e -> mergeOne(e, now));
  }

  /**
   * Returns the entries to tell a peer: self, and a sample of the members heard of lately.
   *
   * <p>A table that fits into the limit is told whole. Of a larger one, two thirds of the sample
   * are members of the own zone, so that the size of a message does not grow with the system.
   *
   * @param now present time in milliseconds
   * @param limit most entries to return
   * @param random source of the sample
   * @return the entries, self first
   */
  public synchronized List<MemberEntry> digest(long now, int limit, RandomGenerator random) {
    Map<Boolean, List<MemberEntry>> byZone =
        members.values().stream()
            .filter(m -> now - m.advancedAt() <= failureTimeoutMs)
            .map(Tracked::entry)
            .collect(partitioningBy(e -> e.getZone().equals(self.getZone())));
    List<MemberEntry> near = byZone.get(true);
    List<MemberEntry> far = byZone.get(false);
    int farRoom = Math.max((limit - 1) / 3, limit - 1 - near.size());
    int nearRoom = limit - 1 - Math.min(farRoom, far.size());
    List<MemberEntry> entries = new ArrayList<>(List.of(self));
    entries.addAll(sample(near, nearRoom, random));
    entries.addAll(sample(far, farRoom, random));
    return entries;
  }

  /** Returns all members, this process included, by name. */
  public synchronized List<Member> members(long now) {
    Stream<Member> others =
        members.values().stream().map(m -> new Member(m.entry(), status(m, now)));
    Member own = new Member(self, self.getLeaving() ? Status.LEAVING : Status.LIVE);
    return Stream.concat(Stream.of(own), others)
        .sorted(Comparator.comparing(m -> m.entry().getName()))
        .toList();
  }

  /** Returns the live members, this process included, by name. */
  public List<MemberEntry> live(long now) {
    return members(now).stream().filter(m -> m.status() == Status.LIVE).map(Member::entry).toList();
  }

  /** Returns the time in milliseconds since a member's heartbeat last advanced. */
  public synchronized long heartbeatAgeMs(String name, long now) {
    if (name.equals(self.getName())) {
      return 0;
    }
    Tracked member = members.get(name);
    return member == null ? Long.MAX_VALUE / 4 : now - member.advancedAt();
  }

  /** Returns this process. */
  public synchronized MemberEntry self() {
    return self;
  }

  private static List<MemberEntry> sample(
      List<MemberEntry> from, int count, RandomGenerator random) {
    if (from.size() <= count) {
      return from;
    }
    List<MemberEntry> rest = new ArrayList<>(from);
    for (int i = 0; i < count; i++) {
      Collections.swap(rest, i, i + random.nextInt(rest.size() - i));
    }
    return rest.subList(0, count);
  }

  private void mergeOne(MemberEntry entry, long now) {
    Tracked known = members.get(entry.getName());
    if (known == null || newer(entry, known.entry())) {
      members.put(entry.getName(), new Tracked(entry, now));
    }
  }

  private static boolean newer(MemberEntry a, MemberEntry b) {
    if (a.getIncarnation() != b.getIncarnation()) {
      return a.getIncarnation() > b.getIncarnation();
    }
    return a.getHeartbeat() > b.getHeartbeat();
  }

  private Status status(Tracked member, long now) {
    if (now - member.advancedAt() > failureTimeoutMs) {
      return Status.FAILED;
    }
    return member.entry().getLeaving() ? Status.LEAVING : Status.LIVE;
  }

  private boolean isSelf(MemberEntry entry) {
    return entry.getName().equals(self.getName());
  }
}
