package org.marigoldmill.server.deployment;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;

/** The active configuration and announced versions of weights; older versions are ignored. */
public final class DeploymentState implements PartitionFollower.Sink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final DeploymentCodec codec;
  private final Map<String, Long> announcedVersions = new ConcurrentHashMap<>();
  private final List<Consumer<DeploymentConfig>> listeners = new CopyOnWriteArrayList<>();
  private volatile Optional<DeploymentConfig> config = Optional.empty();

  /** Creates an empty state. */
  public DeploymentState(DeploymentCodec codec) {
    this.codec = codec;
  }

  /** Registers a listener that is called with each configuration that becomes active. */
  public void addConfigListener(Consumer<DeploymentConfig> listener) {
    listeners.add(listener);
  }

  /** Returns the active configuration. */
  public Optional<DeploymentConfig> config() {
    return config;
  }

  /** Returns the newest announced version of a model, or 0 if there is none. */
  public long announcedVersion(String model) {
    return announcedVersions.getOrDefault(model, 0L);
  }

  /** Does nothing: versions never decrease, so applying the records again is idempotent. */
  @Override
  public void reset() {}

  @Override
  public void apply(StoredRecord stored) {
    if (stored.value().isEmpty()) {
      return;
    }
    byte[] value = stored.value().get();
    codec.decodeConfig(stored.key(), value).ifPresent(this::activate);
    codec.decodeAnnouncedVersion(stored.key(), value).ifPresent(this::recordAnnouncement);
  }

  private void activate(DeploymentConfig candidate) {
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
