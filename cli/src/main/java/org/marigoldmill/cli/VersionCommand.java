package org.marigoldmill.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Prints the version of the binary, or {@code unreleased} when it was not packaged. */
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
  public void declareOptions(OptionParser parser) {
    OperatorCall.declareFormat(parser);
  }

  @Override
  public int run(OptionSet options) {
    String version = Main.class.getPackage().getImplementationVersion();
    String displayed = version == null ? "unreleased" : version;
    System.out.println(
        OperatorCall.isJsonRequested(options)
            ? "{\"version\":\"" + displayed + "\"}"
            : "marigoldmill " + displayed);
    return ExitCode.DONE;
  }
}
