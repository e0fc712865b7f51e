package org.marigoldmill.core.membership;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.ByteString;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.zip.CRC32;
import org.marigoldmill.schema.peer.MemberEntry;

/** Rendezvous hashing of names to members; processes with equal members agree on the result. */
public final class RendezvousHash {
  private RendezvousHash() {}

  /**
   * Ranks members for a name.
   *
   * @param name name to assign
   * @param members candidates
   * @return all candidates, the highest ranked first
   */
  public static List<MemberEntry> rank(String name, List<MemberEntry> members) {
    return members.stream()
        .sorted(
            Comparator.comparingLong((MemberEntry m) -> score(name, m.getName()))
                .reversed()
                .thenComparing(MemberEntry::getName))
        .toList();
  }

  /**
   * Selects the highest ranked members for a name, in different zones as far as possible.
   *
   * @param name name to assign
   * @param members candidates
   * @param count number of members to select
   * @return the members; fewer than {@code count} if there are not enough candidates
   */
  public static List<MemberEntry> selectAcrossZones(
      String name, List<MemberEntry> members, int count) {
    List<MemberEntry> ordered = rank(name, members);
    Set<String> zones = new HashSet<>();
    Map<Boolean, List<MemberEntry>> byNewZone =
        ordered.stream().collect(Collectors.partitioningBy(m -> zones.add(m.getZone())));
    return Stream.concat(byNewZone.get(true).stream(), byNewZone.get(false).stream())
        .limit(count)
        .toList();
  }

  private static long score(String name, String member) {
    CRC32 crc = new CRC32();
    crc.update(ByteString.copyFrom(member + '\0' + name, UTF_8).asReadOnlyByteBuffer());
    long mixed = crc.getValue() * 0x9E3779B97F4A7C15L;
    return (mixed ^ (mixed >>> 29)) >>> 1;
  }
}
