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

/** The configuration in force and the versions that trainers have named; neither goes back. */
public final class DeploymentState implements PartitionFollower.Sink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final DeploymentCodec codec;
  private final Map<String, Long> namedVersions = new ConcurrentHashMap<>();
  private final List<Consumer<DeploymentConfig>> listeners = new CopyOnWriteArrayList<>();
  private volatile Optional<DeploymentConfig> config = Optional.empty();

  /** Creates the state before any record. */
  public DeploymentState(DeploymentCodec codec) {
    this.codec = codec;
  }

  /** Calls back with each configuration that comes into force. */
  public void addConfigListener(Consumer<DeploymentConfig> listener) {
    listeners.add(listener);
  }

  /** Returns the configuration in force. */
  public Optional<DeploymentConfig> config() {
    return config;
  }

  /** Returns the newest version named for a model, or 0. */
  public long announcedVersion(String model) {
    return namedVersions.getOrDefault(model, 0L);
  }

  /** Keeps what is known; records that are read again only confirm it. */
  @Override
  public void reset() {}

  @Override
  public void apply(StoredRecord stored) {
    if (stored.value().isEmpty()) {
      return;
    }
    byte[] value = stored.value().get();
    codec.decodeConfig(stored.key(), value).ifPresent(this::enforce);
    codec.decodeAnnouncedVersion(stored.key(), value).ifPresent(this::name);
  }

  private void enforce(DeploymentConfig read) {
    if (config.filter(c -> c.version() >= read.version()).isPresent()) {
      return;
    }
    logger.atInfo().log(
        "config in force version=%d before=%d routes=%d",
        read.version(), config.map(DeploymentConfig::version).orElse(0L), read.routes().size());
    config = Optional.of(read);
    listeners.forEach(l -> l.accept(read));
  }

  private void name(DeploymentCodec.AnnouncedVersion named) {
    Long before = namedVersions.merge(named.model(), named.version(), Math::max);
    logger.atInfo().log(
        "weights named model=%s version=%d newest=%d", named.model(), named.version(), before);
  }
}
