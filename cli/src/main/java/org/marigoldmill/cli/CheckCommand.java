package org.marigoldmill.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.core.config.DeclarationRules;
import org.marigoldmill.core.rules.Violation;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.settings.ServeSettings;
import org.marigoldmill.server.settings.SettingsReader;

/** Validates a settings file or a declaration and prints every violation. */
final class CheckCommand implements Command {
  @Override
  public String name() {
    return "check";
  }

  @Override
  public String summary() {
    return "validate a settings file (.toml) or a declaration (.json)";
  }

  @Override
  public String example() {
    return "check examples/tuul/declaration.json";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions("File to validate");
  }

  @Override
  public int run(OptionSet options) {
    Path file = Path.of(Command.singleArgument(options, "a file"));
    if (file.toString().endsWith(".toml")) {
      SettingsReader.read(file, ServeSettings.getDefaultInstance());
      System.out.println(file + ": valid settings");
      return ExitCode.DONE;
    }
    List<Violation> violations =
        DeclarationRules.check(DeclarationRules.withDefaults(readDeclaration(file)));
    violations.forEach(v -> System.err.println(file + ": " + v));
    if (!violations.isEmpty()) {
      return ExitCode.USAGE;
    }
    System.out.println(file + ": valid declaration");
    return ExitCode.DONE;
  }

  /**
   * Reads a declaration from a JSON file, without validating it.
   *
   * @throws UncheckedIOException if the file cannot be read
   */
  static Declaration readDeclaration(Path file) {
    try {
      return ProtoJson.parse(Files.readString(file), Declaration.getDefaultInstance());
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read declaration file " + file, e);
    }
  }
}
