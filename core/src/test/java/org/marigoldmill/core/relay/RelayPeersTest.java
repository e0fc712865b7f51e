package org.marigoldmill.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marigoldmill.core.placement.AllowedZones;
import org.marigoldmill.core.relay.RelayPeers.Peer;

class RelayPeersTest {
  private static Peer peer(int number, int zones, boolean reaches) {
    return new Peer("i" + number, "z" + number % zones, "10.0.0." + number + ":1", reaches);
  }

  @Nested
  class Choice {
    private final RelayPeers peers = new RelayPeers("i0", "z0", new Random(1));

    @Test
    void should_be_empty_when_no_other_instance_reaches_upstreams() {
      // GIVEN
      peers.put(peer(0, 1, true));
      peers.put(peer(1, 1, false));
      // WHEN
      Optional<Peer> chosen = peers.acquire(Set.of(), AllowedZones.ALL, 0);
      // THEN
      assertThat(chosen).isEmpty();
      assertThat(peers.anyReachesUpstreams()).isFalse();
    }

    @Test
    void should_prefer_other_zones_while_they_reach_upstreams() {
      // GIVEN
      IntStream.range(1, 12).forEach(i -> peers.put(peer(i, 3, true)));
      // WHEN
      Set<String> zones = new HashSet<>();
      IntStream.range(0, 50)
          .forEach(i -> zones.add(peers.acquire(Set.of(), AllowedZones.ALL, 0).get().zone()));
      // THEN
      assertThat(zones).containsExactlyInAnyOrder("z1", "z2");
    }

    @Test
    void should_pass_over_an_instance_for_longer_each_time_that_it_is_lost() {
      // GIVEN
      peers.put(peer(1, 1, true));
      peers.acquire(Set.of(), AllowedZones.ALL, 0);
      peers.recordLost("i1", 0);
      peers.acquire(Set.of(), AllowedZones.ALL, 250);
      peers.recordLost("i1", 250);
      // WHEN
      Optional<Peer> soon = peers.acquire(Set.of(), AllowedZones.ALL, 740);
      Optional<Peer> later = peers.acquire(Set.of(), AllowedZones.ALL, 750);
      // THEN
      assertThat(soon).isEmpty();
      assertThat(later).isPresent();
    }

    @Test
    void should_choose_only_instances_in_zones_where_the_request_is_allowed() {
      // GIVEN
      IntStream.range(1, 301).forEach(i -> peers.put(peer(i, 8, true)));
      AllowedZones near = AllowedZones.of(Map.of("z5", "near"), List.of(Set.of("near")));
      AllowedZones nowhere = AllowedZones.of(Map.of("z5", "near"), List.of(Set.of("far")));
      // WHEN
      Set<String> zones =
          IntStream.range(0, 300)
              .mapToObj(i -> peers.acquire(Set.of(), near, 0).orElseThrow().zone())
              .collect(Collectors.toSet());
      // THEN
      assertThat(zones).containsExactly("z5");
      assertThat(peers.acquire(Set.of(), nowhere, 0)).isEmpty();
    }

    @Test
    void should_not_return_to_instances_that_were_tried() {
      // GIVEN
      IntStream.range(1, 4).forEach(i -> peers.put(peer(i, 1, true)));
      // WHEN
      Optional<Peer> chosen = peers.acquire(Set.of("i1", "i3"), AllowedZones.ALL, 0);
      // THEN
      assertThat(chosen.map(Peer::name)).contains("i2");
    }
  }

  /** Hundreds of instances, many of which are cut off and choose without knowing of each other. */
  @Nested
  class Spread {
    private static final int CALLS_IN_PROGRESS = 4;

    @ParameterizedTest
    @CsvSource({"9,3,1", "9,3,3", "9,3,6", "9,3,8", "320,8,40", "320,8,250", "320,8,319"})
    void should_be_even_over_the_instances_that_reach_upstreams(int all, int zones, int cutOff) {
      for (long seed = 0; seed < 5; seed++) {
        // GIVEN
        List<Peer> fleet = fleet(all, zones, cutOff);
        Random random = new Random(seed);
        // WHEN
        Map<String, Long> carried =
            fleet.stream()
                .filter(p -> !p.reachesUpstreams())
                .flatMap(p -> carriersFor(p, fleet, random))
                .collect(Collectors.groupingBy(Peer::name, Collectors.counting()));
        // THEN
        long calls = (long) cutOff * CALLS_IN_PROGRESS;
        double most = 3.0 * calls / (all - cutOff) + 4;
        assertThat(carried.values().stream().mapToLong(n -> n).sum()).isEqualTo(calls);
        assertThat(carried.values()).as("seed %d", seed).allMatch(n -> n <= most);
      }
    }

    /** Cuts whole zones off, one after the other. */
    private List<Peer> fleet(int all, int zones, int cutOff) {
      List<Peer> fleet = new ArrayList<>();
      for (int zone = 0; zone < zones; zone++) {
        for (int i = zone; i < all; i += zones) {
          fleet.add(peer(i, zones, fleet.size() >= cutOff));
        }
      }
      return fleet;
    }

    private static Stream<Peer> carriersFor(Peer self, List<Peer> fleet, Random random) {
      RelayPeers known = new RelayPeers(self.name(), self.zone(), random);
      fleet.forEach(known::put);
      return IntStream.range(0, CALLS_IN_PROGRESS)
          .mapToObj(i -> known.acquire(Set.of(), AllowedZones.ALL, 0).orElseThrow());
    }
  }
}
