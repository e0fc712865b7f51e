package org.marigoldmill.server.gateway;

import java.util.Optional;
import java.util.function.Predicate;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.EngineRegistry;

/** Picks the upstream of an attempt and counts the attempt as outstanding there. */
public final class UpstreamPicker {
  /** The platform limits connections, not requests, so instances set no limit of their own. */
  private static final int NO_LIMIT = Integer.MAX_VALUE;

  /**
   * A picked upstream.
   *
   * @param instance entry in the upstream table, to be released after the attempt
   * @param engine registration with the address
   */
  record PickedUpstream(PlatformInstance instance, Engine engine) {}

  private final EngineRegistry registry;
  private final UpstreamTable upstreams;
  private final String zone;
  private final Clock clock;

  /**
   * Creates a picker.
   *
   * @param zone availability zone whose upstreams are preferred
   */
  public UpstreamPicker(
      EngineRegistry registry, UpstreamTable upstreams, String zone, Clock clock) {
    this.registry = registry;
    this.upstreams = upstreams;
    this.zone = zone;
    this.clock = clock;
  }

  /**
   * Picks an upstream of a service.
   *
   * @param service service that runs the request
   * @param eligible whether the upstream of a given name may be picked
   * @return the upstream, or empty if none is eligible
   */
  Optional<PickedUpstream> pick(String service, Predicate<String> eligible) {
    Optional<PlatformInstance> instance =
        upstreams.acquire(service, zone, NO_LIMIT, i -> eligible.test(i.getName()), clock.now());
    return instance.flatMap(this::resolve);
  }

  /** Releases the upstream if it has left the registry in the meantime. */
  private Optional<PickedUpstream> resolve(PlatformInstance instance) {
    Optional<Engine> engine = registry.engine(instance.getName());
    if (engine.isEmpty()) {
      upstreams.release(instance);
    }
    return engine.map(e -> new PickedUpstream(instance, e));
  }
}
