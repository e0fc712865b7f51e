package org.marigoldmill.server.deployment;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;

/**
 * The active configuration, announced versions of weights and evacuated availability zones.
 *
 * <p>Older versions are ignored. A zone is evacuated as long as the latest record under its key has
 * a value; while the store does not answer, what was last read stays in force.
 */
public final class DeploymentState implements PartitionFollower.Sink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final DeploymentCodec codec;
  private final Map<String, Long> announcedVersions = new ConcurrentHashMap<>();
  private final List<Consumer<DeploymentConfig>> listeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<Set<String>>> evacuationListeners = new CopyOnWriteArrayList<>();
  private volatile Optional<DeploymentConfig> config = Optional.empty();
  private volatile Set<String> evacuatedZones = Set.of();
  private boolean loading;
  private final Set<String> loadedZones = new HashSet<>();
  private Optional<DeploymentConfig> loadedConfig = Optional.empty();

  /** Creates an empty state. */
  public DeploymentState(DeploymentCodec codec) {
    this.codec = codec;
  }

  /** Registers a listener that is called with each configuration that becomes active. */
  public void addConfigListener(Consumer<DeploymentConfig> listener) {
    listeners.add(listener);
  }

  /** Registers a listener that is called with all evacuated zones after each change. */
  public void addEvacuationListener(Consumer<Set<String>> listener) {
    evacuationListeners.add(listener);
  }

  /** Returns the evacuated availability zones. */
  public Set<String> evacuatedZones() {
    return evacuatedZones;
  }

  /** Returns the active configuration. */
  public Optional<DeploymentConfig> config() {
    return config;
  }

  /** Returns whether callers may resume streams of any route. */
  public boolean hasResumableRoutes() {
    return config().filter(c -> c.routes().stream().anyMatch(Route::resumable)).isPresent();
  }

  /** Returns the newest announced version of a model, or 0 if there is none. */
  public long announcedVersion(String model) {
    return announcedVersions.getOrDefault(model, 0L);
  }

  /** Does nothing: versions never decrease, so applying the records again is idempotent. */
  @Override
  public void reset() {}

  /**
   * Applies evacuations before a configuration, with which an instance begins to serve callers; an
   * evacuation without a record has been taken back.
   */
  @Override
  public void load(Runnable replay) {
    loadedZones.clear();
    loadedConfig = Optional.empty();
    loading = true;
    try {
      replay.run();
    } finally {
      loading = false;
    }
    changeEvacuatedZones(loadedZones);
    loadedConfig.ifPresent(this::activate);
  }

  @Override
  public void apply(StoredRecord stored) {
    codec
        .decodeEvacuatedZone(stored.key())
        .ifPresent(zone -> applyEvacuation(zone, stored.value().isPresent()));
    if (stored.value().isEmpty()) {
      return;
    }
    byte[] value = stored.value().get();
    codec.decodeConfig(stored.key(), value).ifPresent(this::activate);
    codec.decodeAnnouncedVersion(stored.key(), value).ifPresent(this::recordAnnouncement);
  }

  private void applyEvacuation(String zone, boolean evacuated) {
    Set<String> zones = loading ? loadedZones : new HashSet<>(evacuatedZones);
    if (evacuated) {
      zones.add(zone);
    } else {
      zones.remove(zone);
    }
    if (!loading) {
      changeEvacuatedZones(zones);
    }
  }

  private void changeEvacuatedZones(Set<String> zones) {
    Set<String> before = evacuatedZones;
    if (zones.equals(before)) {
      return;
    }
    logger.atInfo().log(
        "evacuated zones in force=%s before=%s", String.join(",", zones), String.join(",", before));
    evacuatedZones = Set.copyOf(zones);
    evacuationListeners.forEach(l -> l.accept(evacuatedZones));
  }

  private void activate(DeploymentConfig candidate) {
    if (loading) {
      loadedConfig = Optional.of(candidate);
      return;
    }
    if (config.filter(c -> c.version() >= candidate.version()).isPresent()) {
      return;
    }
    logger.atInfo().log(
        "config in force version=%d before=%d routes=%d",
        candidate.version(),
        config.map(DeploymentConfig::version).orElse(0L),
        candidate.routes().size());
    config = Optional.of(candidate);
    listeners.forEach(l -> l.accept(candidate));
  }

  private void recordAnnouncement(DeploymentCodec.AnnouncedVersion announced) {
    Long newest = announcedVersions.merge(announced.model(), announced.version(), Math::max);
    logger.atInfo().log(
        "weights announced model=%s version=%d newest=%d",
        announced.model(), announced.version(), newest);
  }
}
