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

/** Rendezvous hashing of names to members, so that processes agree without messages. */
public final class RendezvousHash {
  private RendezvousHash() {}

  /**
   * Returns the members in order of preference for a name.
   *
   * @param name what is to be placed
   * @param members candidates
   * @return all candidates, the preferred one first
   */
  public static List<MemberEntry> rank(String name, List<MemberEntry> members) {
    return members.stream()
        .sorted(
            Comparator.comparingLong((MemberEntry m) -> weight(name, m.getName()))
                .reversed()
                .thenComparing(MemberEntry::getName))
        .toList();
  }

  /**
   * Returns the holders of a name: the preferred members, each of another zone while there is one.
   *
   * @param name what is to be held
   * @param members candidates
   * @param count how many holders
   * @return at most that many members
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

  private static long weight(String name, String member) {
    CRC32 crc = new CRC32();
    crc.update(ByteString.copyFrom(member + '\0' + name, UTF_8).asReadOnlyByteBuffer());
    long mixed = crc.getValue() * 0x9E3779B97F4A7C15L;
    return (mixed ^ (mixed >>> 29)) >>> 1;
  }
}
