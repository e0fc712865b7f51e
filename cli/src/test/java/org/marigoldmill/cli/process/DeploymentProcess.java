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
  private final Path settings;
  private final String callerAddress;
  private final String readinessAddress;

  private DeploymentProcess(SpawnedProcess process, Path settings, String caller, String ready) {
    this.process = process;
    this.settings = settings;
    this.callerAddress = caller;
    this.readinessAddress = ready;
  }

  /** Returns the binary of the build that is tested. */
  public static String testedBinary() {
    return System.getProperty("marigoldmill.binary");
  }

  /**
   * Starts an instance in zone a with its settings in the directory; does not await readiness.
   *
   * @param extra more lines of its settings
   */
  public static DeploymentProcess start(
      String name, Path directory, String store, String... extra) {
    return startBinary(testedBinary(), name, directory, store, extra);
  }

  /** Starts an instance as {@link #start} does, from the binary of a build. */
  public static DeploymentProcess startBinary(
      String binary, String name, Path directory, String store, String... extra) {
    String caller = FreePorts.address();
    String ready = FreePorts.address();
    String settings =
        String.join(
            "\n",
            "instance = \"" + name + "\"",
            "zone = \"a\"",
            "caller_address = \"" + caller + "\"",
            "ready_address = \"" + ready + "\"",
            "metrics_address = \"" + FreePorts.address() + "\"",
            "relay_address = \"" + FreePorts.address() + "\"",
            "store = \"" + store + "\"",
            "turn_guard_ms = 500",
            String.join("\n", extra),
            "");
    try {
      Path file = directory.resolve(name + ".toml");
      Files.writeString(file, settings);
      return new DeploymentProcess(
          new SpawnedProcess(name, directory, JAVA_OPTIONS, command(binary, file)),
          file,
          caller,
          ready);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Makes later restarts use the binary of a build. */
  public void setBinary(String binary) {
    process.setCommand(command(binary, settings));
  }

  private static List<String> command(String binary, Path settings) {
    return List.of(binary, "serve-deployment", "--settings", settings.toString());
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
