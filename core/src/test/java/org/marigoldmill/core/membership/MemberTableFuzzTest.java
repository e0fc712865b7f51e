package org.marigoldmill.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.marigoldmill.core.membership.MemberTable.Member;
import org.marigoldmill.core.membership.MemberTable.Status;
import org.marigoldmill.schema.peer.MemberEntry;

/**
 * Lets members exchange digests over links that drop, that work one way only and that are
 * partitioned, while members die, pause and come back, against the oracle that a member is held
 * live after healing exactly when it runs.
 */
class MemberTableFuzzTest {
  private static final int MEMBERS = 8;
  private static final int ROUNDS = 250;
  private static final int QUIET_ROUNDS = 60;
  private static final int TRIES = 12;
  private static final int DIGEST_LIMIT = 6;
  private static final long ROUND_MS = 100;
  private static final long FAILURE_MS = 1_500;

  private static final class Node {
    private final int index;
    private int incarnation;
    private boolean runs = true;
    private boolean paused;
    private MemberTable table;

    private Node(int index) {
      this.index = index;
      start(0);
    }

    private void start(long now) {
      incarnation++;
      runs = true;
      paused = false;
      MemberEntry self =
          MemberEntry.newBuilder()
              .setName("n" + index)
              .setZone(index % 2 == 0 ? "a" : "b")
              .setIncarnation(incarnation)
              .build();
      table = MemberTable.of(self, FAILURE_MS, now);
    }
  }

  /** Members, links and time. */
  private static final class Run {
    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<String> cut = new HashSet<>();
    private long now;

    private Run(long seed) {
      random = new Random(seed);
      for (int i = 0; i < MEMBERS; i++) {
        nodes.add(new Node(i));
      }
    }

    private void disturb() {
      Node node = nodes.get(random.nextInt(MEMBERS));
      switch (random.nextInt(12)) {
        case 0 -> node.runs = false;
        case 1 -> node.start(now);
        case 2 -> node.paused = true;
        case 3 -> node.paused = false;
        case 4, 5 -> cut.add(random.nextInt(MEMBERS) + ">" + random.nextInt(MEMBERS));
        case 6 -> partition();
        case 7 -> cut.clear();
        default -> {}
      }
    }

    private void partition() {
      for (int a = 0; a < MEMBERS; a++) {
        for (int b = 0; b < MEMBERS; b++) {
          if (a % 2 != b % 2) {
            cut.add(a + ">" + b);
          }
        }
      }
    }

    private void round() {
      now += ROUND_MS;
      nodes.stream().filter(n -> n.runs && !n.paused).forEach(this::tell);
    }

    private void tell(Node node) {
      node.table.tick(now);
      Node peer = nodes.get(random.nextInt(MEMBERS));
      boolean there = peer.runs && !peer.paused && !cut.contains(node.index + ">" + peer.index);
      if (there) {
        peer.table.merge(node.table.digest(now, DIGEST_LIMIT, random), now);
        if (!cut.contains(peer.index + ">" + node.index)) {
          node.table.merge(peer.table.digest(now, DIGEST_LIMIT, random), now);
        }
      }
    }

    private List<String> heldLive(Node node) {
      return node.table.members(now).stream()
          .filter(m -> m.status() == Status.LIVE)
          .map(Member::entry)
          .map(MemberEntry::getName)
          .toList();
    }
  }

  @Property(tries = TRIES, seed = "20261203")
  void should_hold_live_exactly_what_runs_when_links_have_healed(
      @ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Run run = new Run(seed);
    for (int i = 0; i < ROUNDS; i++) {
      run.disturb();
      run.round();
    }
    // WHEN
    run.cut.clear();
    run.nodes.forEach(n -> n.paused = false);
    for (int i = 0; i < QUIET_ROUNDS; i++) {
      run.round();
    }
    // THEN
    List<String> running = run.nodes.stream().filter(n -> n.runs).map(n -> "n" + n.index).toList();
    run.nodes.stream()
        .filter(n -> n.runs)
        .forEach(n -> assertThat(run.heldLive(n)).as("n" + n.index).isEqualTo(running));
  }

  @Property(tries = TRIES, seed = "20261204")
  void should_not_flap_when_one_link_is_lost(@ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Run run = new Run(seed);
    for (int i = 0; i < QUIET_ROUNDS; i++) {
      run.round();
    }
    // WHEN
    run.cut.add("0>1");
    run.cut.add("1>0");
    // THEN
    for (int i = 0; i < ROUNDS; i++) {
      run.round();
      assertThat(run.heldLive(run.nodes.get(0))).hasSize(MEMBERS);
      assertThat(run.heldLive(run.nodes.get(1))).hasSize(MEMBERS);
    }
  }

  @Property(tries = TRIES, seed = "20261205")
  void should_hold_nobody_failed_when_it_wakes_from_a_pause(@ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Run run = new Run(seed);
    for (int i = 0; i < QUIET_ROUNDS; i++) {
      run.round();
    }
    // WHEN
    Node sleeper = run.nodes.get(0);
    sleeper.paused = true;
    for (int i = 0; i < 40; i++) {
      run.round();
    }
    sleeper.table.tick(run.now);
    // THEN
    assertThat(run.heldLive(sleeper)).hasSize(MEMBERS);
  }
}
