package org.marigoldmill.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.schema.settings.ServeSettings;
import org.marigoldmill.server.EntryInstance;
import org.marigoldmill.server.settings.SettingsReader;

/** Runs one entry instance until it has drained, on request or on SIGTERM. */
final class ServeCommand implements Command {
  @Override
  public String name() {
    return "serve";
  }

  @Override
  public String summary() {
    return "run one entry instance; SIGTERM shuts it down gracefully";
  }

  @Override
  public String example() {
    return "serve --settings examples/tuul/entry-a1.toml";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts("settings", "Settings file in TOML").withRequiredArg();
  }

  @Override
  public int run(OptionSet options) throws InterruptedException {
    ServeSettings settings =
        SettingsReader.read(
            Command.requiredPath(options, "settings"), ServeSettings.getDefaultInstance());
    EntryInstance instance = EntryInstance.start(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndExit(instance), "shutdown"));
    instance.awaitStopped();
    return ExitCode.DONE;
  }

  private static void drainAndExit(EntryInstance instance) {
    instance.drain();
    try {
      instance.awaitStopped();
      Runtime.getRuntime().halt(ExitCode.DONE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
