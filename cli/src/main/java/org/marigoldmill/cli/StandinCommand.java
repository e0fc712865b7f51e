package org.marigoldmill.cli;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.schema.settings.StandinSettings;
import org.marigoldmill.server.settings.SettingsReader;
import org.marigoldmill.standin.Standin;
import org.marigoldmill.standin.Standins;

/** Runs one stand-in: of an upstream, a trainer or a platform service. */
final class StandinCommand implements Command {
  /** Status of a process killed by SIGKILL (128 + 9), with which a stand-in simulates a crash. */
  private static final int SIGKILL_EXIT_STATUS = 137;

  @Override
  public String name() {
    return "standin";
  }

  @Override
  public String summary() {
    return "run a stand-in: " + String.join(", ", Standins.kinds());
  }

  @Override
  public String example() {
    return "standin engine --settings examples/standins/engine-a1.toml";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts("settings", "Settings file in TOML").withRequiredArg();
    parser.nonOptions("Kind of stand-in");
  }

  @Override
  public int run(OptionSet options) throws InterruptedException {
    String kind = Command.singleArgument(options, "one of " + Standins.kinds());
    List<String> kinds = Standins.kinds();
    if (!kinds.contains(kind)) {
      throw new UsageException("expected one of " + kinds + " but found '" + kind + "'");
    }
    StandinSettings settings =
        SettingsReader.read(
            Command.requiredPath(options, "settings"), StandinSettings.getDefaultInstance());
    Standin standin =
        Standins.start(kind, settings, () -> Runtime.getRuntime().halt(SIGKILL_EXIT_STATUS));
    System.out.println(kind + " " + settings.getName() + " on " + standin.address());
    new CountDownLatch(1).await();
    return ExitCode.DONE;
  }
}
