package org.marigoldmill.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineSharesTest {

  @Nested
  class Divide {
    @Property(tries = 500, seed = "11")
    void should_assign_every_engine_to_one_model_and_an_engine_to_every_model(
        @ForAll @IntRange(min = 1, max = 12) int models,
        @ForAll @IntRange(min = 12, max = 60) int engines,
        @ForAll long seed) {
      // GIVEN
      Map<String, Double> demand = demand(models, new Random(seed));
      List<String> ids = ids(engines);
      // WHEN
      EngineShares shares = EngineShares.divide(ids, demand);
      // THEN
      Set<String> assigned = new HashSet<>();
      int assignments = 0;
      for (String model : demand.keySet()) {
        assertThat(shares.engines(model)).isNotEmpty();
        assigned.addAll(shares.engines(model));
        assignments += shares.engines(model).size();
      }
      assertThat(assigned).containsExactlyInAnyOrderElementsOf(ids);
      assertThat(assignments).isEqualTo(engines);
    }

    @Property(tries = 300, seed = "17")
    void should_give_every_model_its_part_of_the_fast_and_the_slow_engines(
        @ForAll @IntRange(min = 1, max = 6) int models,
        @ForAll @IntRange(min = 0, max = 9) int fast,
        @ForAll @IntRange(min = 0, max = 9) int slow) {
      // GIVEN
      int engines = 40;
      List<String> ids = ids(engines);
      Map<String, Double> ms = new HashMap<>();
      ids.forEach(id -> ms.put(id, 50.0));
      ids.subList(0, fast).forEach(id -> ms.put(id, 23.0));
      ids.subList(engines - slow, engines).forEach(id -> ms.put(id, 120.0));
      Map<String, Double> demand = new HashMap<>();
      IntStream.range(0, models).forEach(i -> demand.put("model-" + i, 1.0));
      // WHEN
      EngineShares shares = EngineShares.divide(ids, demand, ms);
      // THEN
      for (String model : demand.keySet()) {
        Set<String> share = shares.engines(model);
        assertThat(share.size()).isBetween(engines / models, engines / models + 1);
        assertThat(share.stream().filter(ids.subList(0, fast)::contains).count())
            .isBetween((long) (fast / models), fast / models + 1L);
        assertThat(share.stream().filter(ids.subList(engines - slow, engines)::contains).count())
            .isBetween(slow / models - 1L, slow / models + 2L);
      }
      assertThat(demand.keySet().stream().flatMap(m -> shares.engines(m).stream()))
          .containsExactlyInAnyOrderElementsOf(ids);
    }

    @Property(tries = 300, seed = "13")
    void should_reassign_few_engines_when_one_leaves(
        @ForAll @IntRange(min = 20, max = 60) int engines, @ForAll long seed) {
      // GIVEN
      Map<String, Double> demand = demand(4, new Random(seed));
      List<String> ids = ids(engines);
      EngineShares before = EngineShares.divide(ids, demand);
      // WHEN
      EngineShares after = EngineShares.divide(ids.subList(1, engines), demand);
      // THEN about one engine for each model whose quota changed is reassigned
      long reassigned =
          ids.subList(1, engines).stream()
              .filter(e -> !model(before, demand, e).equals(model(after, demand, e)))
              .count();
      assertThat(reassigned).isLessThanOrEqualTo(engines / 4);
    }

    @Test
    void should_assign_in_proportion_to_demand_when_one_model_has_most_of_it() {
      Map<String, Double> demand = Map.of("big", 90.0, "small", 10.0);
      EngineShares shares = EngineShares.divide(ids(10), demand);
      assertThat(shares.engines("big")).hasSize(9);
      assertThat(shares.engines("small")).hasSize(1);
    }

    @Test
    void should_share_an_engine_when_there_are_fewer_engines_than_models() {
      EngineShares shares = EngineShares.divide(ids(1), Map.of("a", 1.0, "b", 1.0));
      assertThat(shares.engines("a")).containsExactly("e0");
      assertThat(shares.engines("b")).containsExactly("e0");
    }

    @Test
    void should_assign_nothing_when_there_are_no_engines() {
      assertThat(EngineShares.divide(List.of(), Map.of("a", 1.0)).engines("a")).isEmpty();
    }
  }

  private static String model(EngineShares shares, Map<String, Double> demand, String engine) {
    return demand.keySet().stream()
        .filter(m -> shares.engines(m).contains(engine))
        .findFirst()
        .orElse("");
  }

  private static List<String> ids(int count) {
    return IntStream.range(0, count).mapToObj(i -> "e" + i).toList();
  }

  private static Map<String, Double> demand(int models, Random random) {
    Map<String, Double> demand = new HashMap<>();
    IntStream.range(0, models).forEach(i -> demand.put("m" + i, 1 + random.nextDouble() * 50));
    return demand;
  }
}
