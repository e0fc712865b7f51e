package org.marigoldmill.server.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.marigoldmill.core.rules.Violation;

/** Thrown when a settings file is invalid; the message has one line for each violation. */
public final class InvalidSettings extends RuntimeException {

  InvalidSettings(String file, List<Violation> violations) {
    super(violations.stream().map(v -> file + ": " + v).collect(Collectors.joining("\n")));
  }
}
