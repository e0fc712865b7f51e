package org.marigoldmill.cli.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** One entry instance on a stand-in of the users' platform, as a process of its own. */
public final class DeploymentProcess {
  private static final String JAVA_OPTIONS = "-Xmx150m -XX:+UseSerialGC -XX:TieredStopAtLevel=1";

  private final Spawned process;
  private final String caller;
  private final String ready;

  private DeploymentProcess(Spawned process, String caller, String ready) {
    this.process = process;
    this.caller = caller;
    this.ready = ready;
  }

  /** Starts an instance. */
  public static DeploymentProcess start(String name, Path directory, String store) {
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
            "store = \"" + store + "\"",
            "turn_guard_ms = 500",
            "");
    try {
      Path file = directory.resolve(name + ".toml");
      Files.writeString(file, settings);
      String binary = System.getProperty("marigoldmill.binary");
      return new DeploymentProcess(
          new Spawned(
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

  public String caller() {
    return caller;
  }

  public String ready() {
    return ready;
  }

  public Spawned process() {
    return process;
  }

  public void kill() {
    process.kill();
  }
}
