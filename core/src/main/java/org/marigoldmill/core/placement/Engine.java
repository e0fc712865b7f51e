package org.marigoldmill.core.placement;

import java.util.Map;

/**
 * An upstream as it last described itself.
 *
 * @param id name of this life of the upstream
 * @param incarnation start of its life, in Unix milliseconds
 * @param service service that it belongs to
 * @param address where it listens
 * @param zone availability zone
 * @param slots requests that it runs at once
 * @param draining whether it is leaving
 * @param reclaimable whether the platform may take it away at short notice
 * @param versions version of the weights of each model, empty for a plain upstream
 */
public record Engine(
    String id,
    long incarnation,
    String service,
    String address,
    String zone,
    int slots,
    boolean draining,
    boolean reclaimable,
    Map<String, Long> versions) {

  /** Returns the version of a model's weights, or 0 when it serves another model only. */
  public long version(String model) {
    return versions.getOrDefault(model, 0L);
  }
}
