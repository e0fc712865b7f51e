package org.marigoldmill.cli;

import ch.qos.logback.classic.LoggerContext;
import com.google.common.flogger.FluentLogger;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.cli.logging.JsonLogging;
import org.marigoldmill.platform.PlatformAdapter;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.server.DeploymentInstance;
import org.marigoldmill.server.Pause;
import org.marigoldmill.server.settings.InvalidSettings;
import org.marigoldmill.server.settings.SettingsReader;
import org.slf4j.LoggerFactory;

/** Runs one entry instance on the outer platform until it receives SIGTERM. */
final class ServeDeploymentCommand implements Command {
  private static final String SETTINGS_VARIABLE = "MARIGOLDMILL_CONFIG";

  /** Further settings in TOML; builds that know none of them start beside this one. */
  private static final String MORE_SETTINGS_VARIABLE = "MARIGOLDMILL_MORE_SETTINGS";

  /** Table of the settings with the region of each availability zone. */
  private static final String REGIONS_TABLE = "region_by_zone";

  /** Includes 300 ms for which a halting JVM may wait for threads in native code. */
  private static final long HALT_MARGIN_MS = 500;

  @Override
  public String name() {
    return "serve-deployment";
  }

  @Override
  public String summary() {
    return "run one entry instance on the outer platform; SIGTERM shuts it down gracefully";
  }

  @Override
  public String example() {
    return "serve-deployment --settings settings.toml";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser
        .accepts("settings", "Settings file in TOML; default: $" + SETTINGS_VARIABLE)
        .withRequiredArg();
  }

  @Override
  public int run(OptionSet options) throws InterruptedException {
    JsonLogging.queueToStandardOutput();
    Path file = settingsFile(options);
    SettingsReader.WithTable<DeploymentSettings> read = read(file);
    DeploymentSettings settings = read.settings();
    // The instance is ready before its start returns, and may be told of changed settings then.
    HangupSignal.handle(() -> validateChangedSettings(file, read));
    DeploymentInstance instance = PlatformAdapter.start(settings, read.table());
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(() -> drainAndExit(instance, settings.getGraceMs()), "shutdown"));
    instance.awaitStopped();
    return ExitCode.DONE;
  }

  /**
   * Validates the settings file and logs the result, without applying changes.
   *
   * <p>Changes take effect at the next start; validating on SIGHUP reveals mistakes before that.
   */
  private static void validateChangedSettings(
      Path file, SettingsReader.WithTable<DeploymentSettings> inForce) {
    FluentLogger logger = FluentLogger.forEnclosingClass();
    try {
      SettingsReader.WithTable<DeploymentSettings> changed = read(file);
      logger.atInfo().log(
          "settings read again changed=%s in_force_from=next start", !changed.equals(inForce));
    } catch (InvalidSettings | UncheckedIOException e) {
      logger.atWarning().log(
          "settings read again are invalid, kept=%s cause=%s", file, e.getMessage());
    }
  }

  private static SettingsReader.WithTable<DeploymentSettings> read(Path file) {
    String more = Optional.ofNullable(System.getenv(MORE_SETTINGS_VARIABLE)).orElse("");
    return SettingsReader.readWithTable(
        file, more, DeploymentSettings.getDefaultInstance(), REGIONS_TABLE);
  }

  private static Path settingsFile(OptionSet options) {
    String pathFromEnvironment = System.getenv(SETTINGS_VARIABLE);
    return options.has("settings") || pathFromEnvironment == null
        ? Command.requiredPath(options, "settings")
        : Path.of(pathFromEnvironment);
  }

  private static void drainAndExit(DeploymentInstance instance, long graceMs) {
    Thread limit = new Thread(() -> haltAfter(graceMs - HALT_MARGIN_MS), "shutdown-limit");
    limit.setDaemon(true);
    limit.start();
    try {
      instance.drain();
    } finally {
      flushLogs();
      Runtime.getRuntime().halt(ExitCode.DONE);
    }
  }

  /** Writes the lines that still wait in the queue of the log. */
  private static void flushLogs() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }

  /** Ends a process whose shutdown does not end by itself, also while its output is blocked. */
  private static void haltAfter(long ms) {
    if (Pause.millis(Math.max(0, ms))) {
      Runtime.getRuntime().halt(ExitCode.DONE);
    }
  }
}
