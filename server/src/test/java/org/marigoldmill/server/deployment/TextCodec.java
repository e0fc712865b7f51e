package org.marigoldmill.server.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;

/**
 * Decodes "VERSION" under "config" and "version/m", "INCARNATION STATE" under an engine's id, and
 * evacuated zones from keys "evacuate/ZONE".
 */
public final class TextCodec implements DeploymentCodec {
  @Override
  public Optional<DeploymentConfig> decodeConfig(String key, byte[] value) {
    return key.equals("config")
        ? Optional.of(
            DeploymentConfig.of(
                number(value),
                List.of(),
                List.of(),
                Map.of(),
                new DeploymentConfig.Limits(1, 1, 1, 1)))
        : Optional.empty();
  }

  @Override
  public Optional<AnnouncedVersion> decodeAnnouncedVersion(String key, byte[] value) {
    return key.equals("version/m")
        ? Optional.of(new AnnouncedVersion("m", number(value)))
        : Optional.empty();
  }

  @Override
  public Optional<String> decodeEvacuatedZone(String key) {
    return key.startsWith("evacuate/") ? Optional.of(key.substring(9)) : Optional.empty();
  }

  @Override
  public Optional<Engine> decodeEngine(String key, byte[] value) {
    List<String> words = List.of(new String(value, UTF_8).split(" ", -1));
    if (words.size() != 2) {
      return Optional.empty();
    }
    boolean draining = words.get(1).equals("draining");
    return Optional.of(
        new Engine(
            key,
            Long.parseLong(words.get(0)),
            "s",
            "v1",
            "a:1",
            "z",
            1,
            draining,
            false,
            Map.of(),
            0));
  }

  private static long number(byte[] value) {
    return Long.parseLong(new String(value, UTF_8));
  }
}
