package org.marigoldmill.core.rules;

import com.google.protobuf.Descriptors.FieldDescriptor;

/** Creates the messages of violated rules. */
public final class ShouldMatchRule {
  private ShouldMatchRule() {}

  /** Creates the violation of a required field that is absent. */
  public static Violation shouldBePresent(String key, FieldDescriptor field) {
    return new Violation(key, RuleChecker.expectation(field), "nothing");
  }

  /** Creates the violation of a value outside the rule. */
  public static Violation shouldBeAllowed(String key, FieldDescriptor field, Object found) {
    return new Violation(key, RuleChecker.expectation(field), "'" + found + "'");
  }

  /** Creates the violation of a key that the schema does not have. */
  public static Violation shouldBeKnown(String key, String known) {
    return new Violation(key, "one of " + known, "an unknown key");
  }

  /** Creates the violation of a name that refers to nothing. */
  public static Violation shouldReferTo(String key, String what, String found) {
    return new Violation(key, "the name of " + what, "'" + found + "'");
  }

  /** Creates the violation of a name that stands twice. */
  public static Violation shouldBeUnique(String key, String found) {
    return new Violation(key, "a name that stands once", "'" + found + "' again");
  }
}
