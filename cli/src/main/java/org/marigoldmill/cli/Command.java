package org.marigoldmill.cli;

import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One command of the binary. */
interface Command {
  /** Returns the word that selects the command. */
  String name();

  /** Returns what the command does, in a line. */
  String summary();

  /** Returns an example call, without the name of the binary. */
  String example();

  /** Declares the options. */
  void declare(OptionParser parser);

  /** Runs the command and returns its exit code. */
  int run(OptionSet options) throws InterruptedException;

  /** Returns the only argument that is not an option. */
  static String argument(OptionSet options, String what) {
    if (options.nonOptionArguments().size() != 1) {
      throw new UsageException("expected " + what);
    }
    return options.nonOptionArguments().get(0).toString();
  }

  /** Returns the value of an option that must be given. */
  static String required(OptionSet options, String option) {
    if (!options.has(option)) {
      throw new UsageException("expected --" + option);
    }
    return options.valueOf(option).toString();
  }

  /** Returns a required option as a path. */
  static Path path(OptionSet options, String option) {
    return Path.of(required(options, option));
  }
}
