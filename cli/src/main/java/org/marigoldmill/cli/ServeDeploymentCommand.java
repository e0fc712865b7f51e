package org.marigoldmill.cli;

import com.google.common.flogger.FluentLogger;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.platform.PlatformAdapter;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.server.DeploymentInstance;
import org.marigoldmill.server.settings.InvalidSettings;
import org.marigoldmill.server.settings.SettingsReader;

/** Runs one entry instance on the users' platform until it receives SIGTERM. */
final class ServeDeploymentCommand implements Command {
  private static final String SETTINGS_VARIABLE = "MARIGOLDMILL_CONFIG";

  /** Logs go to standard output through a bounded queue that never blocks. */
  private static final String LOG_CONFIGURATION = "logback-deployment.xml";

  @Override
  public String name() {
    return "serve-deployment";
  }

  @Override
  public String summary() {
    return "run one entry instance on the users' platform; SIGTERM stops it gracefully";
  }

  @Override
  public String example() {
    return "serve-deployment --settings settings.toml";
  }

  @Override
  public void declare(OptionParser parser) {
    parser
        .accepts("settings", "Settings file in TOML; default: $" + SETTINGS_VARIABLE)
        .withRequiredArg();
  }

  @Override
  public int run(OptionSet options) throws InterruptedException {
    System.setProperty("logback.configurationFile", LOG_CONFIGURATION);
    Path file = settings(options);
    DeploymentSettings settings =
        SettingsReader.read(file, DeploymentSettings.getDefaultInstance());
    DeploymentInstance instance = PlatformAdapter.start(settings);
    HangupSignal.handle(() -> reload(file, settings));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(instance), "shutdown"));
    instance.awaitStopped();
    return ExitCode.DONE;
  }

  /** Checks a changed file, so that a mistake shows before the next start needs it. */
  private static void reload(Path file, DeploymentSettings inForce) {
    FluentLogger logger = FluentLogger.forEnclosingClass();
    try {
      DeploymentSettings read = SettingsReader.read(file, DeploymentSettings.getDefaultInstance());
      logger.atInfo().log(
          "settings read again changed=%s in_force_from=next start", !read.equals(inForce));
    } catch (InvalidSettings | UncheckedIOException e) {
      logger.atWarning().log(
          "settings read again are invalid, kept=%s cause=%s", file, e.getMessage());
    }
  }

  private static Path settings(OptionSet options) {
    String variable = System.getenv(SETTINGS_VARIABLE);
    return options.has("settings") || variable == null
        ? Command.path(options, "settings")
        : Path.of(variable);
  }

  private static void stop(DeploymentInstance instance) {
    instance.drain();
    Runtime.getRuntime().halt(ExitCode.DONE);
  }
}
