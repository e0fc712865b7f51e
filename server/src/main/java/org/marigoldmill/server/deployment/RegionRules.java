package org.marigoldmill.server.deployment;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.marigoldmill.core.placement.AllowedZones;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;

/** Applies the regions that routes and organisations of the active configuration allow. */
public final class RegionRules {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final DeploymentState deployment;
  private final Map<String, String> regionByZone;

  /**
   * Creates the rules of the active configuration.
   *
   * @param regionByZone region of each availability zone
   */
  public RegionRules(DeploymentState deployment, Map<String, String> regionByZone) {
    this.deployment = deployment;
    this.regionByZone = Map.copyOf(regionByZone);
    deployment.addConfigListener(this::warnOfRegionsWithoutZone);
  }

  /** Returns the zones allowed to a request of a route, and of an organisation if it has one. */
  public AllowedZones zones(DeploymentConfig config, Route route, Optional<String> organisation) {
    return config.restrictsRegions()
        ? intersection(config, Stream.of(route), organisation)
        : AllowedZones.ALL;
  }

  /** Returns the zones allowed to a reward call or another request of an organisation. */
  public AllowedZones zones(Route route, String organisation) {
    return deployment
        .config()
        .map(c -> zones(c, route, Optional.of(organisation)))
        .orElse(AllowedZones.ALL);
  }

  /** Returns the zones allowed to an item, which obeys its own route and that of its submission. */
  public AllowedZones zones(Submission submission, RolloutItem item) {
    return deployment
        .config()
        .filter(DeploymentConfig::restrictsRegions)
        .map(
            c ->
                intersection(
                    c, routes(c, submission, item), Optional.of(submission.getOrganisation())))
        .orElse(AllowedZones.ALL);
  }

  private static Stream<Route> routes(
      DeploymentConfig config, Submission submission, RolloutItem item) {
    return Stream.of(submission.getPath(), item.getPath())
        .flatMap(path -> config.route(submission.getHost(), path).stream());
  }

  private AllowedZones intersection(
      DeploymentConfig config, Stream<Route> routes, Optional<String> organisation) {
    List<Set<String>> restrictions =
        Stream.concat(
                routes.map(Route::allowedRegions),
                organisation.map(config::allowedRegions).stream())
            .toList();
    return AllowedZones.of(regionByZone, restrictions);
  }

  /** Nothing can run where only such regions are allowed, so their names may be wrong. */
  private void warnOfRegionsWithoutZone(DeploymentConfig config) {
    Set<String> missing =
        config.mentionedRegions().stream()
            .filter(r -> !regionByZone.containsValue(r))
            .collect(Collectors.toSet());
    if (!missing.isEmpty()) {
      logger.atWarning().log(
          "allowed regions have no zone, check their names version=%d regions=%s zones=%s",
          config.version(), String.join(",", missing), regionByZone);
    }
  }
}
