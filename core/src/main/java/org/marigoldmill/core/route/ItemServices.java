package org.marigoldmill.core.route;

import java.util.List;
import java.util.stream.Stream;

/**
 * The services that may run the items of a submission.
 *
 * <p>Several services may serve the same model, and only the route of a submission says which of
 * them its items go to. Once that route is gone, or leads to no service with the model, they go
 * where it led when the submission was accepted.
 *
 * @param targets services with the model and their weights; empty if the items must wait
 */
public record ItemServices(List<Route.Target> targets) {
  /**
   * Creates the services of a submission.
   *
   * @param config configuration in force
   * @param host host that the submission was sent to
   * @param path path that the submission was sent to
   * @param whenAccepted services to which the route led when the submission was accepted
   */
  public static ItemServices of(
      DeploymentConfig config, String host, String path, String model, List<String> whenAccepted) {
    Stream<Route.Target> now =
        config.route(host, path).filter(r -> r.kind() == Route.Kind.ROLLOUT).stream()
            .flatMap(r -> r.usedTargets().stream());
    List<Route.Target> routed = serving(config, model, now);
    return new ItemServices(
        routed.isEmpty()
            ? serving(config, model, whenAccepted.stream().map(s -> new Route.Target(s, 1)))
            : routed);
  }

  private static List<Route.Target> serving(
      DeploymentConfig config, String model, Stream<Route.Target> targets) {
    return targets
        .filter(
            t -> config.service(t.service()).filter(s -> s.models().contains(model)).isPresent())
        .toList();
  }

  /** Returns the services for an item; the first is chosen by weight, the same for the same id. */
  public List<String> inOrder(String item) {
    if (targets.isEmpty()) {
      return List.of();
    }
    String first = Route.chooseService(targets, item);
    return Stream.concat(Stream.of(first), targets.stream().map(Route.Target::service))
        .distinct()
        .toList();
  }
}
