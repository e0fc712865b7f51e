package org.marigoldmill.core.rules;

/**
 * Violation of a rule in a settings file or declaration.
 *
 * @param key path of the field
 * @param expected description of the allowed values
 * @param found description of the actual value
 */
public record Violation(String key, String expected, String found) {
  @Override
  public String toString() {
    return key + ": expected " + expected + " but found " + found;
  }
}
