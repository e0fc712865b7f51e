package org.marigoldmill.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The availability zones in which a request may run and to whose instances its body may be sent.
 *
 * <p>Answers the load of every request and every waiting item: one that is restricted to regions
 * costs a pass over the zones of the deployment, any other nothing. A zone of which no region is
 * known is allowed only where there is no restriction.
 */
public final class AllowedZones {
  /** The zones of a request without a restriction. */
  public static final AllowedZones ALL = new AllowedZones(Optional.empty());

  private final Optional<Set<String>> zones;

  private AllowedZones(Optional<Set<String>> zones) {
    this.zones = zones;
  }

  /**
   * Returns the zones in regions that all restrictions allow.
   *
   * @param regionByZone region of each availability zone of the deployment
   * @param restrictions sets of allowed regions, of which an empty one allows all
   */
  public static AllowedZones of(
      Map<String, String> regionByZone, Collection<Set<String>> restrictions) {
    List<Set<String>> binding = restrictions.stream().filter(r -> !r.isEmpty()).toList();
    if (binding.isEmpty()) {
      return ALL;
    }
    return new AllowedZones(
        Optional.of(
            regionByZone.entrySet().stream()
                .filter(e -> binding.stream().allMatch(r -> r.contains(e.getValue())))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet())));
  }

  /** Returns whether only some zones are allowed, or none. */
  public boolean restricted() {
    return zones.isPresent();
  }

  /** Returns whether a zone is allowed. */
  public boolean includes(String zone) {
    return zones.isEmpty() || zones.get().contains(zone);
  }

  @Override
  public String toString() {
    return zones.map(Object::toString).orElse("all");
  }
}
