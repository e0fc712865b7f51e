package org.marigoldmill.server.deployment;

import java.util.Optional;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;

/** Port that reads what operators, trainers and engines have written to the store. */
public interface DeploymentCodec {

  /** A version of a model's weights that its trainer has named. */
  record AnnouncedVersion(String model, long version) {}

  /** Returns the configuration, when the record under the key holds one. */
  Optional<DeploymentConfig> decodeConfig(String key, byte[] value);

  /** Returns the version named, when the record under the key names one. */
  Optional<AnnouncedVersion> decodeAnnouncedVersion(String key, byte[] value);

  /** Returns the engine that describes itself under a key, when it can be used. */
  Optional<Engine> decodeEngine(String key, byte[] value);
}
