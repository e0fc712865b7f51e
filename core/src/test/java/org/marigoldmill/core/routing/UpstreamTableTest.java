package org.marigoldmill.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.schema.platform.InstanceState;
import org.marigoldmill.schema.platform.PlatformInstance;

class UpstreamTableTest {
  private static final String POOL = "records";
  private static final int LIMIT = 4;

  private final UpstreamTable table = UpstreamTable.with(new Random(20261203));

  private static PlatformInstance upstream(String name, String zone) {
    return PlatformInstance.newBuilder().setName(name).setZone(zone).setPool(POOL).build();
  }

  private Optional<PlatformInstance> acquire(long nowMs) {
    return table.acquire(POOL, "a", LIMIT, i -> true, nowMs);
  }

  @Nested
  class Acquire {
    @Test
    void should_stay_in_the_zone_when_it_has_room() {
      // GIVEN
      table.replace(List.of(upstream("a1", "a"), upstream("b1", "b")));
      // WHEN, THEN
      for (int i = 0; i < LIMIT; i++) {
        assertThat(acquire(0)).get().extracting(PlatformInstance::getName).isEqualTo("a1");
      }
      assertThat(acquire(0)).get().extracting(PlatformInstance::getName).isEqualTo("b1");
    }

    @Test
    void should_find_none_when_all_are_at_their_limit() {
      // GIVEN
      table.replace(List.of(upstream("a1", "a")));
      IntStream.range(0, LIMIT).forEach(i -> acquire(0));
      // WHEN, THEN
      assertThat(acquire(0)).isEmpty();
    }

    @Test
    void should_avoid_the_failed_upstream_when_there_is_another() {
      // GIVEN
      PlatformInstance failing = upstream("a1", "a");
      table.replace(List.of(failing, upstream("a2", "a")));
      acquire(0);
      table.recordFailure(failing, 0);
      // WHEN, THEN
      for (int i = 0; i < LIMIT - 1; i++) {
        assertThat(acquire(100)).get().extracting(PlatformInstance::getName).isEqualTo("a2");
      }
    }

    @Test
    void should_use_the_failed_upstream_when_there_is_no_other() {
      // GIVEN
      PlatformInstance only = upstream("a1", "a");
      table.replace(List.of(only));
      acquire(0);
      table.recordFailure(only, 0);
      // WHEN, THEN
      assertThat(acquire(1)).contains(only);
    }

    @Test
    void should_acquire_none_when_the_only_upstream_is_leaving() {
      // GIVEN
      PlatformInstance leaving =
          upstream("a1", "a").toBuilder().setState(InstanceState.LEAVING).build();
      table.replace(List.of(leaving));
      // WHEN, THEN
      assertThat(acquire(0)).isEmpty();
    }

    @Test
    void should_spread_requests_when_a_report_of_an_idle_upstream_is_stale() {
      // GIVEN
      List<PlatformInstance> all =
          IntStream.range(0, 20).mapToObj(i -> upstream("a" + i, "a")).toList();
      table.replace(all);
      all.forEach(i -> table.recordReportedLoad(i.getName(), i.getName().equals("a0") ? 0 : 5, 0));
      Map<String, Integer> chosen = new HashMap<>();
      // WHEN
      for (int i = 0; i < 60; i++) {
        acquire(5_000).ifPresent(u -> chosen.merge(u.getName(), 1, Integer::sum));
      }
      // THEN
      assertThat(chosen.getOrDefault("a0", 0)).isLessThanOrEqualTo(LIMIT);
      assertThat(chosen).hasSizeGreaterThan(15);
    }
  }
}
