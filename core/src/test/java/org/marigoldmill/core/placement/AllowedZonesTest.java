package org.marigoldmill.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class AllowedZonesTest {
  private static final Map<String, String> REGION_BY_ZONE =
      Map.of("n1", "north", "n2", "north", "s1", "south", "w1", "west");

  private static List<String> allowed(List<Set<String>> restrictions) {
    AllowedZones zones = AllowedZones.of(REGION_BY_ZONE, restrictions);
    return Stream.of("n1", "n2", "s1", "w1", "unlisted").filter(zones::includes).toList();
  }

  @Test
  void should_allow_every_zone_when_nothing_is_restricted() {
    assertThat(allowed(List.of(Set.of(), Set.of())))
        .containsExactly("n1", "n2", "s1", "w1", "unlisted");
    assertThat(AllowedZones.of(REGION_BY_ZONE, List.of(Set.of()))).isSameAs(AllowedZones.ALL);
  }

  @Test
  void should_allow_the_zones_of_all_regions_that_are_named() {
    assertThat(allowed(List.of(Set.of("north", "west"), Set.of())))
        .containsExactly("n1", "n2", "w1");
  }

  @Test
  void should_bind_by_both_when_two_are_restricted() {
    assertThat(allowed(List.of(Set.of("north", "west"), Set.of("south", "west"))))
        .containsExactly("w1");
    assertThat(allowed(List.of(Set.of("north"), Set.of("south")))).isEmpty();
    assertThat(allowed(List.of(Set.of("nowhere")))).isEmpty();
  }

  @Test
  void should_allow_no_zone_when_the_regions_of_zones_are_unknown() {
    AllowedZones zones = AllowedZones.of(Map.of(), List.of(Set.of("north")));
    assertThat(zones.restricted()).isTrue();
    assertThat(zones.includes("n1")).isFalse();
  }
}
