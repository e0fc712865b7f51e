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

/** Checks a settings file or a declaration and prints every mistake. */
final class CheckCommand implements Command {
  @Override
  public String name() {
    return "check";
  }

  @Override
  public String summary() {
    return "check a settings file (.toml) or a declaration (.json)";
  }

  @Override
  public String example() {
    return "check examples/tuul/declaration.json";
  }

  @Override
  public void declare(OptionParser parser) {
    parser.nonOptions("File to check");
  }

  @Override
  public int run(OptionSet options) {
    Path file = Path.of(Command.argument(options, "a file"));
    if (file.toString().endsWith(".toml")) {
      SettingsReader.read(file, ServeSettings.getDefaultInstance());
      System.out.println(file + ": valid settings");
      return ExitCode.DONE;
    }
    List<Violation> violations =
        DeclarationRules.check(DeclarationRules.withDefaults(declaration(file)));
    violations.forEach(v -> System.err.println(file + ": " + v));
    if (!violations.isEmpty()) {
      return ExitCode.USAGE;
    }
    System.out.println(file + ": valid declaration");
    return ExitCode.DONE;
  }

  static Declaration declaration(Path file) {
    try {
      return ProtoJson.parse(Files.readString(file), Declaration.getDefaultInstance());
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read " + file, e);
    }
  }
}
