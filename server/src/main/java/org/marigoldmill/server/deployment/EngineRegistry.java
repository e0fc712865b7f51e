package org.marigoldmill.server.deployment;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.placement.LeavingEngines;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.http.HttpSyntax;
import org.marigoldmill.schema.platform.InstanceState;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;

/** Registry of the upstreams that have registered in the store. */
public final class EngineRegistry implements PartitionFollower.Sink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final DeploymentCodec codec;
  private final UpstreamTable upstreams;
  private final EngineVersions versions;
  private final Map<String, Engine> engines = new ConcurrentHashMap<>();
  private final List<Consumer<String>> removalListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<Engine>> entryListeners = new CopyOnWriteArrayList<>();
  private volatile Map<String, Map<String, Integer>> softwareVersions = Map.of();
  private volatile List<String> addresses = List.of();
  private final LeavingEngines leaving = new LeavingEngines();
  private volatile Set<String> evacuatedZones = Set.of();
  private Set<String> zonesWithoutUpstream = Set.of();
  private boolean loaded;
  private boolean routingTableStale;

  /** Creates an empty registry that updates a routing table and the versions of weights. */
  public EngineRegistry(DeploymentCodec codec, UpstreamTable upstreams, EngineVersions versions) {
    this.codec = codec;
    this.upstreams = upstreams;
    this.versions = versions;
  }

  /** Registers a listener, called with the id of each upstream that is gone or started again. */
  public void addRemovalListener(Consumer<String> listener) {
    removalListeners.add(listener);
  }

  /** Registers a listener, called with each entry that has been read, before it takes effect. */
  public void addEntryListener(Consumer<Engine> listener) {
    entryListeners.add(listener);
  }

  /** Returns the upstream with an id. */
  public Optional<Engine> engine(String id) {
    return Optional.ofNullable(engines.get(id));
  }

  /**
   * Returns the addresses of all upstreams outside evacuated zones, including draining ones; those
   * of all upstreams if every zone is evacuated.
   */
  public List<String> addresses() {
    return addresses;
  }

  /** Returns the number of upstreams by service and version of their software. */
  public Map<String, Map<String, Integer>> softwareVersions() {
    return softwareVersions;
  }

  /** Returns the upstreams of a service, including draining ones. */
  public List<Engine> enginesOf(String service) {
    return engines.values().stream().filter(e -> e.service().equals(service)).toList();
  }

  /** Returns the upstreams of a service that accept new work. */
  public List<Engine> availableEnginesOf(String service) {
    return enginesOf(service).stream().filter(this::isAvailable).toList();
  }

  /** Returns whether the upstream with an id is listed and accepts new work. */
  public boolean isAvailable(String id) {
    return engine(id).filter(this::isAvailable).isPresent();
  }

  private boolean isAvailable(Engine engine) {
    return !engine.draining() && !isEvacuated(engine);
  }

  /** Returns whether an upstream is in an evacuated zone, so that nothing new is sent to it. */
  public boolean isEvacuated(Engine engine) {
    return evacuatedZones.contains(engine.zone());
  }

  /** Sets the zones whose upstreams get no new work, including those that register later. */
  public synchronized void setEvacuatedZones(Set<String> zones) {
    evacuatedZones = Set.copyOf(zones);
    updateRoutingTable();
    warnOfZonesWithoutUpstream();
  }

  /** Warns once of each evacuated zone that has no upstream, since its name may be wrong. */
  private void warnOfZonesWithoutUpstream() {
    if (!loaded) {
      return;
    }
    Set<String> known = engines.values().stream().map(Engine::zone).collect(Collectors.toSet());
    Set<String> missing =
        evacuatedZones.stream().filter(z -> !known.contains(z)).collect(Collectors.toSet());
    missing.stream()
        .filter(z -> !zonesWithoutUpstream.contains(z))
        .forEach(
            z ->
                logger.atWarning().log(
                    "evacuated zone has no upstream, check its name zone=%s known=%s",
                    z, String.join(",", known)));
    zonesWithoutUpstream = missing;
  }

  /**
   * Records that an upstream has said in an answer that it leaves; it gets no new work from now on.
   */
  public synchronized void recordLeaving(String id, long incarnation) {
    Engine engine = engines.get(id);
    if (engine == null || engine.incarnation() != incarnation || !leaving.record(id, incarnation)) {
      return;
    }
    logger.atInfo().log(
        "engine leaving id=%s incarnation=%d source=answer listed_draining=%s",
        id, incarnation, engine.draining());
    if (!engine.draining()) {
      engines.put(id, engine.asDraining());
      updateRoutingTable();
    }
  }

  /** Returns the number of upstreams that serve models. */
  public int modelEngineCount() {
    return (int) engines.values().stream().filter(e -> !e.versions().isEmpty()).count();
  }

  @Override
  public synchronized void reset() {
    engines.keySet().forEach(versions::remove);
    engines.clear();
    routingTableStale = true;
  }

  /** Keeps a known engine if the record loaded is of an earlier incarnation. */
  @Override
  public synchronized void load(Runnable replay) {
    Map<String, Engine> before = Map.copyOf(engines);
    PartitionFollower.Sink.super.load(replay);
    engines.replaceAll((id, engine) -> laterIncarnation(before.get(id), engine));
    List<String> gone = before.keySet().stream().filter(id -> !engines.containsKey(id)).toList();
    gone.forEach(this::notifyRemoved);
    loaded = true;
    warnOfZonesWithoutUpstream();
    logger.atInfo().log(
        "registry loaded, engines missing from it removed engines=%d gone=%s",
        engines.size(), String.join(",", gone));
  }

  @Override
  public synchronized void apply(StoredRecord stored) {
    Optional<Engine> decoded = stored.value().flatMap(v -> codec.decodeEngine(stored.key(), v));
    Engine before = engines.get(stored.key());
    if (decoded.isEmpty()) {
      removeIfDeleted(stored, before);
      return;
    }
    Engine engine = leaving.apply(decoded.get());
    if (before != null && before.incarnation() > engine.incarnation()) {
      return;
    }
    if (before != null && before.incarnation() < engine.incarnation()) {
      versions.remove(engine.id());
      notifyRemoved(engine.id());
    }
    entryListeners.forEach(l -> l.accept(engine));
    engines.put(engine.id(), engine);
    engine.versions().forEach((model, v) -> versions.recordReportedVersion(engine.id(), model, v));
    boolean relisted =
        before == null
            || before.draining() != engine.draining()
            || !before.softwareVersion().equals(engine.softwareVersion());
    if (relisted) {
      logger.atInfo().log(
          "engine listed id=%s service=%s software=%s zone=%s draining=%s versions=%s",
          engine.id(),
          engine.service(),
          engine.softwareVersion(),
          engine.zone(),
          engine.draining(),
          engine.versions());
      routingTableStale = true;
    } else if (!before.address().equals(engine.address())) {
      routingTableStale = true;
    }
  }

  @Override
  public synchronized void advanceTo(long offset) {
    if (routingTableStale) {
      updateRoutingTable();
    }
  }

  private void updateRoutingTable() {
    routingTableStale = false;
    upstreams.replace(engines.values().stream().map(this::toPlatformInstance).toList());
    List<Engine> reachedForWork = engines.values().stream().filter(e -> !isEvacuated(e)).toList();
    addresses =
        (reachedForWork.isEmpty() ? engines.values() : reachedForWork)
            .stream().map(Engine::address).toList();
    softwareVersions =
        engines.values().stream()
            .collect(
                Collectors.groupingBy(
                    Engine::service,
                    Collectors.groupingBy(Engine::softwareVersion, Collectors.summingInt(e -> 1))));
  }

  /** Removes an engine if its record was deleted; an undecodable record may be another writer's. */
  private void removeIfDeleted(StoredRecord stored, Engine before) {
    if (stored.value().isPresent()) {
      logger.atWarning().log(
          "engine record not decodable, ignored id=%s known=%s",
          HttpSyntax.printable(stored.key()), before != null);
      return;
    }
    if (before != null) {
      engines.remove(stored.key());
      versions.remove(stored.key());
      notifyRemoved(stored.key());
      routingTableStale = true;
      logger.atInfo().log("engine gone id=%s service=%s", stored.key(), before.service());
    }
  }

  private void notifyRemoved(String id) {
    leaving.remove(id);
    removalListeners.forEach(l -> l.accept(id));
  }

  private static Engine laterIncarnation(Engine before, Engine loaded) {
    return before != null && before.incarnation() > loaded.incarnation() ? before : loaded;
  }

  private PlatformInstance toPlatformInstance(Engine engine) {
    return PlatformInstance.newBuilder()
        .setName(engine.id())
        .setZone(engine.zone())
        .setPool(engine.service())
        .setAddress(engine.address())
        .setState(isAvailable(engine) ? InstanceState.LIVE : InstanceState.LEAVING)
        .setReclaimable(engine.reclaimable())
        .build();
  }
}
