package org.marigoldmill.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Prints the version. */
final class VersionCommand implements Command {
  @Override
  public String name() {
    return "version";
  }

  @Override
  public String summary() {
    return "print the version";
  }

  @Override
  public String example() {
    return "version";
  }

  @Override
  public void declare(OptionParser parser) {
    OperatorCall.declareFormat(parser);
  }

  @Override
  public int run(OptionSet options) {
    String version = Main.class.getPackage().getImplementationVersion();
    String known = version == null ? "unreleased" : version;
    System.out.println(
        OperatorCall.json(options) ? "{\"version\":\"" + known + "\"}" : "marigoldmill " + known);
    return ExitCode.DONE;
  }
}
