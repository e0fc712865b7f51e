package org.marigoldmill.server.deployment;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.schema.platform.InstanceState;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;

/** Upstreams that have registered themselves in the store. */
public final class EngineRegistry implements PartitionFollower.Sink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final DeploymentCodec codec;
  private final UpstreamTable upstreams;
  private final EngineVersions versions;
  private final Map<String, Engine> engines = new ConcurrentHashMap<>();
  private boolean changed;

  /** Creates an empty registry that keeps a routing table and the versions up to date. */
  public EngineRegistry(DeploymentCodec codec, UpstreamTable upstreams, EngineVersions versions) {
    this.codec = codec;
    this.upstreams = upstreams;
    this.versions = versions;
  }

  /** Returns an upstream. */
  public Optional<Engine> engine(String id) {
    return Optional.ofNullable(engines.get(id));
  }

  /** Returns the upstreams of a service, leaving ones included. */
  public List<Engine> enginesOf(String service) {
    return engines.values().stream().filter(e -> e.service().equals(service)).toList();
  }

  /** Returns the upstreams of a service that take new work. */
  public List<Engine> availableEnginesOf(String service) {
    return enginesOf(service).stream().filter(e -> !e.draining()).toList();
  }

  @Override
  public void reset() {
    engines.keySet().forEach(versions::forget);
    engines.clear();
    changed = true;
  }

  /** Of an engine that is known in a later life than the one loaded, the later one is kept. */
  @Override
  public void load(Runnable applyAll) {
    Map<String, Engine> before = Map.copyOf(engines);
    PartitionFollower.Sink.super.load(applyAll);
    engines.replaceAll((id, engine) -> later(before.get(id), engine));
    String gone =
        before.keySet().stream()
            .filter(id -> !engines.containsKey(id))
            .collect(Collectors.joining(","));
    logger.atInfo().log("registry loaded engines=%d gone=%s", engines.size(), gone);
  }

  @Override
  public void apply(StoredRecord stored) {
    Optional<Engine> told = stored.value().flatMap(v -> codec.decodeEngine(stored.key(), v));
    Engine before = engines.get(stored.key());
    if (told.isEmpty()) {
      remove(stored, before);
      return;
    }
    Engine engine = told.get();
    if (before != null && before.incarnation() > engine.incarnation()) {
      return;
    }
    if (before != null && before.incarnation() < engine.incarnation()) {
      versions.forget(engine.id());
    }
    engines.put(engine.id(), engine);
    engine.versions().forEach((model, v) -> versions.seen(engine.id(), model, v));
    if (before == null || before.draining() != engine.draining()) {
      logger.atInfo().log(
          "engine listed id=%s service=%s zone=%s draining=%s versions=%s",
          engine.id(), engine.service(), engine.zone(), engine.draining(), engine.versions());
      changed = true;
    } else if (!before.address().equals(engine.address())) {
      changed = true;
    }
  }

  @Override
  public void advanceTo(long offset) {
    if (changed) {
      changed = false;
      upstreams.replace(engines.values().stream().map(EngineRegistry::instance).toList());
    }
  }

  /** Keeps an engine whose record cannot be read; a record of another writer says nothing of it. */
  private void remove(StoredRecord stored, Engine before) {
    if (stored.value().isPresent()) {
      logger.atWarning().log(
          "engine record unreadable id=%s known=%s", stored.key(), before != null);
      return;
    }
    if (before != null) {
      engines.remove(stored.key());
      versions.forget(stored.key());
      changed = true;
      logger.atInfo().log("engine gone id=%s service=%s", stored.key(), before.service());
    }
  }

  private static Engine later(Engine before, Engine loaded) {
    return before != null && before.incarnation() > loaded.incarnation() ? before : loaded;
  }

  private static PlatformInstance instance(Engine engine) {
    return PlatformInstance.newBuilder()
        .setName(engine.id())
        .setZone(engine.zone())
        .setPool(engine.service())
        .setAddress(engine.address())
        .setState(engine.draining() ? InstanceState.LEAVING : InstanceState.LIVE)
        .setReclaimable(engine.reclaimable())
        .build();
  }
}
