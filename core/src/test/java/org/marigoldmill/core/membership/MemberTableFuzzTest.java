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
 * Exchanges digests over lossy, one-way and partitioned links while members stop, pause and
 * restart, and checks that after the links have healed exactly the running members are live.
 */
class MemberTableFuzzTest {
  private static final int MEMBERS = 8;
  private static final int ROUNDS = 250;
  private static final int FAULT_FREE_ROUNDS = 60;
  private static final int TRIES = 12;
  private static final int DIGEST_LIMIT = 6;
  private static final long ROUND_INTERVAL_MS = 100;
  private static final long FAILURE_TIMEOUT_MS = 1_500;

  private static final class Node {
    private final int index;
    private int incarnation;
    private boolean running = true;
    private boolean paused;
    private MemberTable table;

    private Node(int index) {
      this.index = index;
      start(0);
    }

    private void start(long nowMs) {
      incarnation++;
      running = true;
      paused = false;
      MemberEntry self =
          MemberEntry.newBuilder()
              .setName("n" + index)
              .setZone(index % 2 == 0 ? "a" : "b")
              .setIncarnation(incarnation)
              .build();
      table = MemberTable.of(self, FAILURE_TIMEOUT_MS, nowMs);
    }
  }

  /** The members with their links and clock. */
  private static final class Simulation {
    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<String> blockedLinks = new HashSet<>();
    private long nowMs;

    private Simulation(long seed) {
      random = new Random(seed);
      for (int i = 0; i < MEMBERS; i++) {
        nodes.add(new Node(i));
      }
    }

    private void injectFault() {
      Node node = nodes.get(random.nextInt(MEMBERS));
      switch (random.nextInt(12)) {
        case 0 -> node.running = false;
        case 1 -> node.start(nowMs);
        case 2 -> node.paused = true;
        case 3 -> node.paused = false;
        case 4, 5 -> blockedLinks.add(random.nextInt(MEMBERS) + ">" + random.nextInt(MEMBERS));
        case 6 -> partition();
        case 7 -> blockedLinks.clear();
        default -> {}
      }
    }

    private void partition() {
      for (int a = 0; a < MEMBERS; a++) {
        for (int b = 0; b < MEMBERS; b++) {
          if (a % 2 != b % 2) {
            blockedLinks.add(a + ">" + b);
          }
        }
      }
    }

    private void round() {
      nowMs += ROUND_INTERVAL_MS;
      nodes.stream().filter(n -> n.running && !n.paused).forEach(this::exchangeWithRandomPeer);
    }

    private void exchangeWithRandomPeer(Node node) {
      node.table.tick(nowMs);
      Node peer = nodes.get(random.nextInt(MEMBERS));
      boolean reachable =
          peer.running && !peer.paused && !blockedLinks.contains(node.index + ">" + peer.index);
      if (reachable) {
        peer.table.merge(node.table.digest(nowMs, DIGEST_LIMIT, random), nowMs);
        if (!blockedLinks.contains(peer.index + ">" + node.index)) {
          node.table.merge(peer.table.digest(nowMs, DIGEST_LIMIT, random), nowMs);
        }
      }
    }

    private List<String> liveMembers(Node node) {
      return node.table.members(nowMs).stream()
          .filter(m -> m.status() == Status.LIVE)
          .map(Member::entry)
          .map(MemberEntry::getName)
          .toList();
    }
  }

  @Property(tries = TRIES, seed = "20261203")
  void should_see_exactly_the_running_members_as_live_when_links_have_healed(
      @ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Simulation simulation = new Simulation(seed);
    for (int i = 0; i < ROUNDS; i++) {
      simulation.injectFault();
      simulation.round();
    }
    // WHEN
    simulation.blockedLinks.clear();
    simulation.nodes.forEach(n -> n.paused = false);
    for (int i = 0; i < FAULT_FREE_ROUNDS; i++) {
      simulation.round();
    }
    // THEN
    List<String> running =
        simulation.nodes.stream().filter(n -> n.running).map(n -> "n" + n.index).toList();
    simulation.nodes.stream()
        .filter(n -> n.running)
        .forEach(n -> assertThat(simulation.liveMembers(n)).as("n" + n.index).isEqualTo(running));
  }

  @Property(tries = TRIES, seed = "20261204")
  void should_not_flap_when_one_link_is_lost(@ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Simulation simulation = new Simulation(seed);
    for (int i = 0; i < FAULT_FREE_ROUNDS; i++) {
      simulation.round();
    }
    // WHEN
    simulation.blockedLinks.add("0>1");
    simulation.blockedLinks.add("1>0");
    // THEN
    for (int i = 0; i < ROUNDS; i++) {
      simulation.round();
      assertThat(simulation.liveMembers(simulation.nodes.get(0))).hasSize(MEMBERS);
      assertThat(simulation.liveMembers(simulation.nodes.get(1))).hasSize(MEMBERS);
    }
  }

  @Property(tries = TRIES, seed = "20261205")
  void should_see_no_member_as_failed_when_a_paused_process_resumes(
      @ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Simulation simulation = new Simulation(seed);
    for (int i = 0; i < FAULT_FREE_ROUNDS; i++) {
      simulation.round();
    }
    // WHEN
    Node node = simulation.nodes.get(0);
    node.paused = true;
    for (int i = 0; i < 40; i++) {
      simulation.round();
    }
    node.table.tick(simulation.nowMs);
    // THEN
    assertThat(simulation.liveMembers(node)).hasSize(MEMBERS);
  }
}
