package org.marigoldmill.server.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.marigoldmill.core.rules.Violation;

/** A settings file with mistakes; the message has one line for each. */
public final class InvalidSettings extends RuntimeException {

  InvalidSettings(String file, List<Violation> violations) {
    super(violations.stream().map(v -> file + ": " + v).collect(Collectors.joining("\n")));
  }
}
