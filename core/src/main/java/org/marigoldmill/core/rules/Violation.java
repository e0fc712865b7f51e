package org.marigoldmill.core.rules;

/**
 * One mistake in a settings file or declaration.
 *
 * @param key path of the field
 * @param expected what the rule expects
 * @param found what was found instead
 */
public record Violation(String key, String expected, String found) {
  @Override
  public String toString() {
    return key + ": expected " + expected + " but found " + found;
  }
}
