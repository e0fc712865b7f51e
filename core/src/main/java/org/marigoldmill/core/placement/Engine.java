package org.marigoldmill.core.placement;

import java.util.Map;

/**
 * An upstream, as described by its last heartbeat.
 *
 * @param id identifier of this incarnation of the upstream
 * @param incarnation time at which it started, in Unix milliseconds
 * @param service name of the service that it belongs to
 * @param softwareVersion version of the software that it runs, not of the weights
 * @param address address that it listens on
 * @param zone availability zone
 * @param slots maximum number of concurrent requests
 * @param draining whether it finishes its requests and accepts no new ones
 * @param reclaimable whether the platform may reclaim it at short notice
 * @param versions version of the weights by model; empty for an upstream that serves no models
 * @param warmupLeftMs how long it stays cold from the time on at which this was read, in
 *     milliseconds; 0 if it is warm, negative if it does not say
 */
public record Engine(
    String id,
    long incarnation,
    String service,
    String softwareVersion,
    String address,
    String zone,
    int slots,
    boolean draining,
    boolean reclaimable,
    Map<String, Long> versions,
    long warmupLeftMs) {

  /** Returns this engine as one that accepts no new requests. */
  public Engine asDraining() {
    return draining
        ? this
        : new Engine(
            id,
            incarnation,
            service,
            softwareVersion,
            address,
            zone,
            slots,
            true,
            reclaimable,
            versions,
            warmupLeftMs);
  }

  /** Returns the version of a model's weights, or 0 if it does not serve the model. */
  public long version(String model) {
    return versions.getOrDefault(model, 0L);
  }
}
