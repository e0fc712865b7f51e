package org.marigoldmill.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DeploymentConfigTest {
  private final DeploymentConfig config =
      DeploymentConfig.of(
          3,
          List.of(route("wide", "/a/", 1, 0), route("narrow", "/a/b/", 1, 0)),
          List.of(),
          Map.of("key", "org"),
          new DeploymentConfig.Limits(1, 1, 1, 1));

  @Nested
  class FindRoute {
    @Test
    void should_choose_the_longest_prefix_when_several_match_the_path() {
      assertThat(config.route("h", "/a/b/c").orElseThrow().name()).isEqualTo("narrow");
      assertThat(config.route("h", "/a/bc").orElseThrow().name()).isEqualTo("wide");
    }

    @Test
    void should_find_nothing_when_host_or_path_do_not_match() {
      assertThat(config.route("other", "/a/b/c")).isEmpty();
      assertThat(config.route("h", "/b")).isEmpty();
    }
  }

  @Nested
  class ChooseService {
    @Test
    void should_distribute_requests_by_weight_and_choose_the_same_service_for_the_same_id() {
      Route split = route("split", "/s/", 90, 10);
      long small =
          IntStream.range(0, 10_000)
              .mapToObj(i -> split.chooseService("request-" + i))
              .filter("two"::equals)
              .count();
      assertThat(small).isBetween(800L, 1_200L);
      assertThat(split.chooseService("x")).isEqualTo(split.chooseService("x"));
    }
  }

  private static Route route(String name, String prefix, int weightOne, int weightTwo) {
    List<Route.Target> targets =
        weightTwo == 0
            ? List.of(new Route.Target("one", weightOne))
            : List.of(new Route.Target("one", weightOne), new Route.Target("two", weightTwo));
    return new Route(
        name,
        "h",
        prefix,
        Route.Kind.IDEMPOTENT,
        false,
        0,
        1_000,
        100,
        2,
        targets,
        false,
        false,
        false,
        0,
        0,
        Set.of());
  }
}
