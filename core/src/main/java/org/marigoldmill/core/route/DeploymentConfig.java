package org.marigoldmill.core.route;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of a deployment's configuration.
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
  private final Limits limits;

  /**
   * A service of upstreams.
   *
   * @param name name in the configuration
   * @param models models that its engines serve; empty for a plain service
   * @param maxConnections connections that one upstream accepts
   */
  public record Service(String name, List<String> models, int maxConnections) {}

  /**
   * Bounds on what a caller may send.
   *
   * @param maxHeaderBytes largest head of a request
   * @param maxBodyBytes largest body of a request
   * @param headerTimeoutMs longest time for a head to arrive
   * @param idleTimeoutMs longest time for which a connection may be idle
   */
  public record Limits(
      int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {}

  private DeploymentConfig(
      long version,
      Map<String, List<Route>> routesByHost,
      Map<String, Service> services,
      Map<String, String> organisationByKey,
      Limits limits) {
    this.version = version;
    this.routesByHost = routesByHost;
    this.services = services;
    this.organisationByKey = organisationByKey;
    this.limits = limits;
  }

  /**
   * Indexes a configuration.
   *
   * @param version number that only grows
   * @param routes routes in any order
   * @param services services in any order
   * @param organisationByKey organisation of each key
   * @param limits bounds on requests
   * @return the configuration
   */
  public static DeploymentConfig of(
      long version,
      List<Route> routes,
      List<Service> services,
      Map<String, String> organisationByKey,
      Limits limits) {
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
    Map<String, List<Route>> byHost =
        routes.stream().sorted(longestFirst).collect(Collectors.groupingBy(Route::host));
    Map<String, Service> byName =
        services.stream().collect(Collectors.toMap(Service::name, s -> s, (a, b) -> b));
    return new DeploymentConfig(version, byHost, byName, Map.copyOf(organisationByKey), limits);
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns the route with the longest prefix that begins a path. */
  public Optional<Route> route(String host, String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(r -> path.startsWith(r.pathPrefix()))
        .findFirst();
  }

  /** Returns a service. */
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

  /** Returns the organisation that holds a key. */
  public Optional<String> organisation(String key) {
    return Optional.ofNullable(organisationByKey.get(key));
  }

  /** Returns the bounds on requests. */
  public Limits limits() {
    return limits;
  }
}
