package org.marigoldmill.declare;

import static java.util.stream.Collectors.joining;

import java.util.List;
import org.marigoldmill.core.rules.Violation;

/** A declaration with mistakes; the message has one line for each. */
public final class InvalidDeclaration extends RuntimeException {
  InvalidDeclaration(List<Violation> violations) {
    super(violations.stream().map(Violation::toString).collect(joining("\n")));
  }
}
