package org.marigoldmill.core.route;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A version of a deployment's configuration, indexed for look-ups.
 *
 * <pre>{@code
 * Optional<Route> route = config.route("api.example", "/lookup/17");
 * }</pre>
 */
public final class DeploymentConfig {
  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<String, Service> services;
  private final Map<String, String> organisationByKey;
  private final Map<String, Set<String>> regionsByOrganisation;
  private final Limits limits;
  private final Set<String> mentionedRegions;

  /**
   * A service, which is provided by upstreams.
   *
   * @param name name in the configuration
   * @param models names of the models that its engines serve; empty for a service without models
   * @param maxConnections maximum number of connections to one upstream
   * @param warmup how its upstreams warm up; empty if they serve at full speed from the start
   * @param autoscale how many engines may be ordered; empty if none
   */
  public record Service(
      String name,
      List<String> models,
      int maxConnections,
      Optional<Warmup> warmup,
      Optional<Autoscale> autoscale) {}

  /**
   * How the upstreams of a service warm up.
   *
   * @param durationMs time for which one is cold after its start, in milliseconds
   * @param requestsPerSecond requests a second that a cold one accepts from all instances together
   */
  public record Warmup(long durationMs, double requestsPerSecond) {}

  /**
   * How many engines of a service may be ordered, and what they cost.
   *
   * @param min minimum number of engines in an availability zone
   * @param max maximum number of engines in an availability zone, reclaimable ones included
   * @param startupMs time after which an ordered engine serves, in milliseconds
   * @param priceByZone price of an engine by availability zone; 1 in others
   * @param reclaimablePrice price of a reclaimable engine, as a share of that of others; 1 if none
   *     are offered
   */
  public record Autoscale(
      int min, int max, long startupMs, Map<String, Double> priceByZone, double reclaimablePrice) {

    /** Returns whether reclaimable engines can be ordered. */
    public boolean offersReclaimable() {
      return reclaimablePrice < 1;
    }

    /** Returns the price of an engine in a pool. */
    public double price(String zone, boolean reclaimable) {
      return priceByZone.getOrDefault(zone, 1.0) * (reclaimable ? reclaimablePrice : 1);
    }
  }

  /**
   * Limits on callers' requests and connections.
   *
   * @param maxHeaderBytes maximum size of a request's header section, in bytes
   * @param maxBodyBytes maximum size of a request's body, in bytes
   * @param headerTimeoutMs maximum time for the header section to arrive, in milliseconds
   * @param idleTimeoutMs maximum time that a connection may be idle, in milliseconds
   */
  public record Limits(
      int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {}

  private DeploymentConfig(
      long version,
      Map<String, List<Route>> routesByHost,
      Map<String, Service> services,
      Map<String, String> organisationByKey,
      Map<String, Set<String>> regionsByOrganisation,
      Limits limits) {
    this.version = version;
    this.routesByHost = routesByHost;
    this.services = services;
    this.organisationByKey = organisationByKey;
    this.regionsByOrganisation = regionsByOrganisation;
    this.limits = limits;
    this.mentionedRegions =
        Stream.concat(
                routes().stream().map(Route::allowedRegions),
                regionsByOrganisation.values().stream())
            .flatMap(Set::stream)
            .collect(Collectors.toUnmodifiableSet());
  }

  /** Creates a configuration whose organisations may use all regions. */
  public static DeploymentConfig of(
      long version,
      List<Route> routes,
      List<Service> services,
      Map<String, String> organisationByKey,
      Limits limits) {
    return of(version, routes, services, organisationByKey, Map.of(), limits);
  }

  /**
   * Creates a configuration.
   *
   * @param version version number, which increases with each change
   * @param routes routes in any order
   * @param services services in any order
   * @param organisationByKey organisation by API key
   * @param regionsByOrganisation regions in which requests of an organisation may run; all for an
   *     organisation that is missing or has none
   * @param limits limits on requests
   * @return the configuration
   */
  public static DeploymentConfig of(
      long version,
      List<Route> routes,
      List<Service> services,
      Map<String, String> organisationByKey,
      Map<String, Set<String>> regionsByOrganisation,
      Limits limits) {
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
    Map<String, List<Route>> byHost =
        routes.stream().sorted(longestFirst).collect(Collectors.groupingBy(Route::host));
    Map<String, Service> byName =
        services.stream().collect(Collectors.toMap(Service::name, s -> s, (a, b) -> b));
    return new DeploymentConfig(
        version,
        byHost,
        byName,
        Map.copyOf(organisationByKey),
        Map.copyOf(regionsByOrganisation),
        limits);
  }

  /** Returns the version number. */
  public long version() {
    return version;
  }

  /** Returns the route of a host whose path prefix is the longest match for a path. */
  public Optional<Route> route(String host, String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(r -> path.startsWith(r.pathPrefix()))
        .findFirst();
  }

  /** Returns the service with a name. */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services. */
  public List<Service> services() {
    return List.copyOf(services.values());
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /** Returns the organisation that an API key belongs to. */
  public Optional<String> organisation(String key) {
    return Optional.ofNullable(organisationByKey.get(key));
  }

  /** Returns the regions in which requests of an organisation may run; empty for all. */
  public Set<String> allowedRegions(String organisation) {
    return regionsByOrganisation.getOrDefault(organisation, Set.of());
  }

  /** Returns all regions that routes or organisations name. */
  public Set<String> mentionedRegions() {
    return mentionedRegions;
  }

  /** Returns whether any route or organisation is restricted to regions. */
  public boolean restrictsRegions() {
    return !mentionedRegions.isEmpty();
  }

  /** Returns the limits on requests. */
  public Limits limits() {
    return limits;
  }
}
