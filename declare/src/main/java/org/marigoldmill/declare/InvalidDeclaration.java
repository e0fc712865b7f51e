package org.marigoldmill.declare;

import static java.util.stream.Collectors.joining;

import java.util.List;
import org.marigoldmill.core.rules.Violation;

/** Thrown when a declaration violates rules; the message has one line for each violation. */
public final class InvalidDeclaration extends RuntimeException {
  InvalidDeclaration(List<Violation> violations) {
    super(violations.stream().map(Violation::toString).collect(joining("\n")));
  }
}
