package org.marigoldmill.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.route.Route.Target;

class ItemServicesTest {
  private static final String MODEL = "m";

  private static DeploymentConfig config(Route... routes) {
    return DeploymentConfig.of(
        1,
        List.of(routes),
        List.of(service("a", MODEL), service("b", MODEL), service("other", "x"), service("plain")),
        Map.of(),
        new DeploymentConfig.Limits(1, 1, 1, 1));
  }

  private static DeploymentConfig.Service service(String name, String... models) {
    return new DeploymentConfig.Service(
        name, List.of(models), 1, Optional.empty(), Optional.empty());
  }

  private static Route route(Route.Kind kind, String prefix, Target... targets) {
    return new Route(
        prefix,
        "h",
        prefix,
        kind,
        false,
        0,
        1_000,
        100,
        2,
        List.of(targets),
        false,
        false,
        false,
        0,
        0,
        Set.of());
  }

  private static Route batch(Target... targets) {
    return route(Route.Kind.ROLLOUT, "/batch/", targets);
  }

  private static List<String> services(DeploymentConfig config, String... whenAccepted) {
    return ItemServices.of(config, "h", "/batch/1", MODEL, List.of(whenAccepted)).inOrder("item");
  }

  @Nested
  class Of {
    /** A service that another route leads to got items only because it had the same model. */
    @Test
    void should_be_those_of_the_route_when_others_serve_the_model_too() {
      Route plain = route(Route.Kind.IDEMPOTENT, "/chat/", new Target("b", 1));
      assertThat(services(config(batch(new Target("a", 1)), plain), "a")).containsExactly("a");
    }

    @Test
    void should_follow_the_route_when_it_has_been_moved() {
      assertThat(services(config(batch(new Target("b", 1))), "a")).containsExactly("b");
    }

    @Test
    void should_be_those_of_the_acceptance_when_the_route_is_gone_or_carries_something_else() {
      assertThat(services(config(), "a")).containsExactly("a");
      Route plain = route(Route.Kind.MUTATING, "/batch/", new Target("b", 1));
      assertThat(services(config(plain), "a")).containsExactly("a");
    }

    @Test
    void should_be_those_of_the_acceptance_when_the_route_leads_to_no_service_with_the_model() {
      assertThat(services(config(batch(new Target("other", 1), new Target("plain", 1))), "a"))
          .containsExactly("a");
    }

    @Test
    void should_be_none_when_a_former_build_has_accepted_it_and_the_route_is_gone() {
      assertThat(services(config())).isEmpty();
    }

    @Test
    void should_leave_out_services_without_weight_and_those_that_are_gone() {
      assertThat(services(config(batch(new Target("a", 1), new Target("b", 0))), "b"))
          .containsExactly("a");
      assertThat(services(config(), "gone")).isEmpty();
    }
  }

  @Nested
  class InOrder {
    @Test
    void should_begin_with_services_in_proportion_to_their_weights() {
      ItemServices split =
          ItemServices.of(
              config(batch(new Target("a", 90), new Target("b", 10))),
              "h",
              "/batch/1",
              MODEL,
              List.of());
      Stream<List<String>> orders =
          IntStream.range(0, 10_000).mapToObj(i -> split.inOrder("item-" + i));
      assertThat(orders.filter(o -> o.equals(List.of("b", "a"))).count()).isBetween(800L, 1_200L);
    }
  }
}
