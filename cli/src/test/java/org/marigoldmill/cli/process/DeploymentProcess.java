package org.marigoldmill.cli.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** An entry instance of a deployment, run by {@code serve-deployment} in its own process. */
public final class DeploymentProcess {
  private static final String JAVA_OPTIONS = "-Xmx150m -XX:+UseSerialGC -XX:TieredStopAtLevel=1";

  private final SpawnedProcess process;
  private final String callerAddress;
  private final String readinessAddress;

  private DeploymentProcess(SpawnedProcess process, String caller, String ready) {
    this.process = process;
    this.callerAddress = caller;
    this.readinessAddress = ready;
  }

  /**
   * Starts an instance in zone a with its settings in the directory; does not await readiness.
   *
   * @param extra more lines of its settings
   */
  public static DeploymentProcess start(
      String name, Path directory, String store, String... extra) {
    String caller = ProcessCluster.freeAddress();
    String ready = ProcessCluster.freeAddress();
    String settings =
        String.join(
            "\n",
            "instance = \"" + name + "\"",
            "zone = \"a\"",
            "caller_address = \"" + caller + "\"",
            "ready_address = \"" + ready + "\"",
            "metrics_address = \"" + ProcessCluster.freeAddress() + "\"",
            "relay_address = \"" + ProcessCluster.freeAddress() + "\"",
            "store = \"" + store + "\"",
            "turn_guard_ms = 500",
            String.join("\n", extra),
            "");
    try {
      Path file = directory.resolve(name + ".toml");
      Files.writeString(file, settings);
      String binary = System.getProperty("marigoldmill.binary");
      return new DeploymentProcess(
          new SpawnedProcess(
              name,
              directory,
              JAVA_OPTIONS,
              List.of(binary, "serve-deployment", "--settings", file.toString())),
          caller,
          ready);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public String callerAddress() {
    return callerAddress;
  }

  public String readinessAddress() {
    return readinessAddress;
  }

  public SpawnedProcess process() {
    return process;
  }

  public void kill() {
    process.kill();
  }
}
