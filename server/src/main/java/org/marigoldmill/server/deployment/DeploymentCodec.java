package org.marigoldmill.server.deployment;

import java.util.Optional;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;

/** Port that decodes records that operators, trainers and engines have written to the store. */
public interface DeploymentCodec {

  /** A version of a model's weights that its trainer has announced. */
  record AnnouncedVersion(String model, long version) {}

  /** Decodes a configuration, or returns empty if the key is not that of the configuration. */
  Optional<DeploymentConfig> decodeConfig(String key, byte[] value);

  /** Decodes an announced version, or returns empty if the key is not that of a version. */
  Optional<AnnouncedVersion> decodeAnnouncedVersion(String key, byte[] value);

  /**
   * Decodes the name of the availability zone that a record evacuates while the record exists, or
   * returns empty if the key is not that of an evacuation.
   */
  Optional<String> decodeEvacuatedZone(String key);

  /** Decodes the registration of an engine, or returns empty if it is unusable. */
  Optional<Engine> decodeEngine(String key, byte[] value);
}
