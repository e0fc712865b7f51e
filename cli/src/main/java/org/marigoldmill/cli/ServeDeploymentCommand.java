package org.marigoldmill.cli;

import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.platform.UsersPlatform;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.server.DeploymentInstance;
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
    DeploymentInstance instance =
        UsersPlatform.start(
            SettingsReader.read(settings(options), DeploymentSettings.getDefaultInstance()));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(instance), "shutdown"));
    instance.awaitStopped();
    return ExitCode.DONE;
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
