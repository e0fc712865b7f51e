package org.marigoldmill.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.cli.logging.JsonLogging;
import org.marigoldmill.platform.PlatformAdapter;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.server.DeploymentInstance;

/**
 * Starts an entry instance whose store is unreachable, loads the classes of its work, and stops it.
 *
 * <p>Run at build time with {@code -XX:ArchiveClassesAtExit}, it makes the JVM load the classes for
 * the class data sharing archive that shortens later starts.
 */
final class WarmUpCommand implements Command {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Classes that an instance at work has loaded, one name a line. */
  private static final String CLASS_LIST = "warm-up-classes.txt";

  private static final long RUN_DURATION_MS = 1_500;
  private static final String ANY_PORT = "127.0.0.1:0";
  private static final String CLOSED_PORT = "127.0.0.1:1";

  @Override
  public String name() {
    return "warm-up";
  }

  @Override
  public String summary() {
    return "start and stop an instance once, to load classes for -XX:ArchiveClassesAtExit";
  }

  @Override
  public String example() {
    return "warm-up";
  }

  @Override
  public void declareOptions(OptionParser parser) {}

  @Override
  public int run(OptionSet options) throws InterruptedException {
    JsonLogging.queueToStandardOutput();
    DeploymentSettings settings =
        DeploymentSettings.newBuilder()
            .setInstance("warm-up")
            .setZone("none")
            .setCallerAddress(ANY_PORT)
            .setReadyAddress(ANY_PORT)
            .setMetricsAddress(ANY_PORT)
            .setStore(CLOSED_PORT)
            .setPartitions(1)
            .setRecordBytes(1 << 18)
            .setCallBytes(1 << 21)
            .setGroupTtlMs(1_000)
            .setLeaseTtlMs(1_000)
            .setUsageWindowMs(1_000)
            .setWorkerThreads(2)
            .setParallelLoads(1)
            .setWarmupExcess(1)
            .build();
    DeploymentInstance instance = PlatformAdapter.start(settings, Map.of());
    List<String> missing = loadListedClasses();
    if (!missing.isEmpty()) {
      // An archive with fewer classes only makes starts slower, so the build goes on.
      logger.atWarning().log("listed classes not found: %s", missing);
    }
    Thread.sleep(RUN_DURATION_MS);
    instance.close();
    return ExitCode.DONE;
  }

  /** Loads the classes that an instance needs once it has work, and returns those not found. */
  static List<String> loadListedClasses() {
    try (InputStream in = WarmUpCommand.class.getResourceAsStream(CLASS_LIST)) {
      return new String(in.readAllBytes(), UTF_8).lines().filter(c -> !load(c)).toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean load(String name) {
    try {
      Class.forName(name, false, WarmUpCommand.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException | LinkageError e) {
      logger.atFine().withCause(e).log("class not loaded name=%s", name);
      return false;
    }
  }
}
