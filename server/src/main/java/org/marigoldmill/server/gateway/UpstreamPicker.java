package org.marigoldmill.server.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.placement.AllowedZones;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Pause;
import org.marigoldmill.server.deployment.EngineRegistry;

/** Picks the upstream of an attempt and counts the attempt as outstanding there. */
public final class UpstreamPicker {
  /** The platform limits connections, not requests, so instances set no limit of their own. */
  private static final int NO_LIMIT = Integer.MAX_VALUE;

  /** Upstreams whose request limit is asked, so that the cost does not grow with the service. */
  private static final int MAX_LIMITS_ASKED = 6;

  /**
   * A picked upstream.
   *
   * @param instance entry in the upstream table, to be released after the attempt
   * @param engine registration with the address
   * @param waitMs time until its turn at an upstream with a request limit, in milliseconds
   */
  record PickedUpstream(PlatformInstance instance, Engine engine, long waitMs) {}

  /**
   * The outcome of a choice.
   *
   * @param picked the upstream, or empty if none may be sent the request now
   * @param limited whether an upstream would have been picked if it named no request limit
   * @param turnInMs time until the next turn at one of those, in milliseconds; empty if unknown
   */
  record Pick(Optional<PickedUpstream> picked, boolean limited, OptionalLong turnInMs) {
    private static Pick of(PickedUpstream upstream) {
      return new Pick(Optional.of(upstream), false, OptionalLong.empty());
    }
  }

  private final EngineRegistry registry;
  private final UpstreamTable upstreams;
  private final EngineLimits limits;
  private final String zone;
  private final Clock clock;

  /**
   * Creates a picker.
   *
   * @param zone availability zone whose upstreams are preferred
   */
  public UpstreamPicker(
      EngineRegistry registry,
      UpstreamTable upstreams,
      EngineLimits limits,
      String zone,
      Clock clock) {
    this.registry = registry;
    this.upstreams = upstreams;
    this.limits = limits;
    this.zone = zone;
    this.clock = clock;
  }

  /** Returns the urgency that upstreams are told; empty where they are not chosen by estimate. */
  Optional<Urgency> announced(Urgency urgency) {
    return upstreams.isEstimating() ? Optional.of(urgency) : Optional.empty();
  }

  /**
   * Picks an upstream of a service; one that is cold only if no other can take the request.
   *
   * @param service service that runs the request
   * @param eligible whether an upstream may be picked
   * @param maxWaitMs longest time for which the request may wait for its turn, in milliseconds
   */
  Pick pick(String service, Urgency urgency, Predicate<Engine> eligible, long maxWaitMs) {
    Set<String> denied = new HashSet<>();
    Predicate<Engine> warm = e -> eligible.test(e) && !limits.isCold(e.id(), clock.now());
    return pickNow(service, urgency, warm, denied)
        .or(() -> pickNow(service, urgency, eligible, denied))
        .map(Pick::of)
        .orElseGet(() -> pickAhead(service, urgency, denied, maxWaitMs));
  }

  /**
   * Picks an upstream that may be sent the request now.
   *
   * @param denied upstreams without a turn for the request; extended
   */
  private Optional<PickedUpstream> pickNow(
      String service, Urgency urgency, Predicate<Engine> eligible, Set<String> denied) {
    while (denied.size() < MAX_LIMITS_ASKED) {
      Optional<PickedUpstream> next =
          acquire(service, e -> eligible.test(e) && !denied.contains(e.id()));
      if (next.isEmpty()) {
        return next;
      }
      String name = next.get().engine().id();
      if (limits.tryAcquire(name, urgency, clock.now())) {
        return next;
      }
      upstreams.release(next.get().instance());
      denied.add(name);
    }
    return Optional.empty();
  }

  /** Takes the next turn at one of the upstreams that denied the request, if it comes in time. */
  private Pick pickAhead(String service, Urgency urgency, Set<String> denied, long maxWaitMs) {
    Optional<String> soonest = Optional.empty();
    long turnInMs = Long.MAX_VALUE;
    for (String name : denied) {
      long waitMs = limits.waitMs(name, urgency, clock.now()).orElse(Long.MAX_VALUE);
      if (waitMs < turnInMs) {
        turnInMs = waitMs;
        soonest = Optional.of(name);
      }
    }
    if (turnInMs <= maxWaitMs) {
      String name = soonest.orElseThrow();
      Optional<PickedUpstream> upstream = acquire(service, e -> e.id().equals(name));
      if (upstream.isPresent()) {
        limits.acquireAhead(name, urgency, clock.now());
        PickedUpstream now = upstream.get();
        return Pick.of(new PickedUpstream(now.instance(), now.engine(), turnInMs));
      }
    }
    OptionalLong known =
        turnInMs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(turnInMs);
    return new Pick(Optional.empty(), !denied.isEmpty(), known);
  }

  /**
   * Waits for the turn at a picked upstream.
   *
   * @return false if it accepts no new work any more, and so has been given up
   */
  boolean awaitTurn(PickedUpstream picked) {
    Pause.millis(picked.waitMs());
    boolean available = picked.waitMs() == 0 || registry.isAvailable(picked.engine().id());
    if (!available) {
      upstreams.release(picked.instance());
    }
    return available;
  }

  /**
   * Returns why no upstream of a service may be sent a request.
   *
   * @param zones zones in which the request may run
   */
  ErrorKind unavailability(String service, AllowedZones zones) {
    List<Engine> engines =
        registry.enginesOf(service).stream()
            .filter(e -> !e.draining() && zones.includes(e.zone()))
            .toList();
    if (engines.isEmpty()) {
      return zones.restricted() ? ErrorKind.REGION_UNAVAILABLE : ErrorKind.NO_UPSTREAM;
    }
    return engines.stream().allMatch(registry::isEvacuated)
        ? ErrorKind.EVACUATED
        : ErrorKind.NO_UPSTREAM;
  }

  private Optional<PickedUpstream> acquire(String service, Predicate<Engine> eligible) {
    Optional<PlatformInstance> instance =
        upstreams.acquire(
            service,
            zone,
            NO_LIMIT,
            i -> registry.engine(i.getName()).filter(eligible).isPresent(),
            clock.now());
    return instance.flatMap(this::resolve);
  }

  /** Releases the upstream if it has left the registry in the meantime. */
  private Optional<PickedUpstream> resolve(PlatformInstance instance) {
    Optional<Engine> engine = registry.engine(instance.getName());
    if (engine.isEmpty()) {
      upstreams.release(instance);
    }
    return engine.map(e -> new PickedUpstream(instance, e, 0));
  }
}
