package org.marigoldmill.core.rules;

import com.google.protobuf.Descriptors.FieldDescriptor;

/** Creates the violations that state what one field rule expected and what was found. */
public final class ShouldMatchRule {
  private ShouldMatchRule() {}

  /** Creates a violation for a required field that is absent. */
  public static Violation shouldBePresent(String key, FieldDescriptor field) {
    return new Violation(key, RuleChecker.expectation(field), "nothing");
  }

  /** Creates a violation for a value that the rule of the field does not allow. */
  public static Violation shouldBeAllowed(String key, FieldDescriptor field, Object found) {
    return new Violation(key, RuleChecker.expectation(field), "'" + found + "'");
  }

  /** Creates a violation for a key that the schema does not define. */
  public static Violation shouldBeKnown(String key, String known) {
    return new Violation(key, "one of " + known, "an unknown key");
  }

  /** Creates a violation for a reference to a name that is not declared. */
  public static Violation shouldReferTo(String key, String kind, String found) {
    return new Violation(key, "the name of " + kind, "'" + found + "'");
  }

  /** Creates a violation for a name that is declared more than once. */
  public static Violation shouldBeUnique(String key, String found) {
    return new Violation(key, "a unique name", "duplicate '" + found + "'");
  }
}
