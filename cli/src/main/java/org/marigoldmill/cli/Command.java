package org.marigoldmill.cli;

import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand of the {@code marigoldmill} binary. */
interface Command {
  /** Returns the name that selects the command, as the first argument of the binary. */
  String name();

  /** Returns a one-line description for the usage text. */
  String summary();

  /** Returns an example invocation, without the name of the binary. */
  String example();

  /** Declares the options and positional arguments that the command accepts. */
  void declareOptions(OptionParser parser);

  /**
   * Runs the command.
   *
   * @return one of the constants of {@link ExitCode}
   * @throws UsageException if an argument is missing or invalid
   */
  int run(OptionSet options) throws InterruptedException;

  /**
   * Returns the single positional argument.
   *
   * @param expected description of the argument, for the error message
   * @throws UsageException if there is not exactly one positional argument
   */
  static String singleArgument(OptionSet options, String expected) {
    if (options.nonOptionArguments().size() != 1) {
      throw new UsageException(
          "expected " + expected + " but found arguments " + options.nonOptionArguments());
    }
    return options.nonOptionArguments().get(0).toString();
  }

  /**
   * Returns the value of a required option.
   *
   * @throws UsageException if the option is absent
   */
  static String requiredOption(OptionSet options, String option) {
    if (!options.has(option)) {
      throw new UsageException("missing required option --" + option);
    }
    return options.valueOf(option).toString();
  }

  /** Returns the value of a required option as a path. */
  static Path requiredPath(OptionSet options, String option) {
    return Path.of(requiredOption(options, option));
  }
}
