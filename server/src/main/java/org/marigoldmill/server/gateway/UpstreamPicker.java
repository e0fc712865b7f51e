package org.marigoldmill.server.gateway;

import java.util.Optional;
import java.util.function.Predicate;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.EngineRegistry;

/** Chooses the upstream of an attempt and counts the attempt as outstanding there. */
public final class UpstreamPicker {
  /** The platform bounds connections, not requests, so an instance sets no limit of its own. */
  private static final int NO_LIMIT = Integer.MAX_VALUE;

  /**
   * An upstream that was chosen.
   *
   * @param instance entry in the table of loads, to be given back after the attempt
   * @param engine where it is reached
   */
  record Picked(PlatformInstance instance, Engine engine) {}

  private final EngineRegistry registry;
  private final UpstreamTable upstreams;
  private final String zone;
  private final Clock clock;

  /** Creates the choice of an instance in a zone. */
  public UpstreamPicker(
      EngineRegistry registry, UpstreamTable upstreams, String zone, Clock clock) {
    this.registry = registry;
    this.upstreams = upstreams;
    this.zone = zone;
    this.clock = clock;
  }

  /**
   * Chooses an upstream of a service.
   *
   * @param service service that runs the request
   * @param eligible whether an upstream of a name may be taken
   * @return the upstream, or empty when none is known
   */
  Optional<Picked> pick(String service, Predicate<String> eligible) {
    Optional<PlatformInstance> instance =
        upstreams.acquire(service, zone, NO_LIMIT, i -> eligible.test(i.getName()), clock.now());
    return instance.flatMap(this::located);
  }

  /** An upstream that has left the registry since gets its place back. */
  private Optional<Picked> located(PlatformInstance instance) {
    Optional<Engine> engine = registry.engine(instance.getName());
    if (engine.isEmpty()) {
      upstreams.release(instance);
    }
    return engine.map(e -> new Picked(instance, e));
  }
}
