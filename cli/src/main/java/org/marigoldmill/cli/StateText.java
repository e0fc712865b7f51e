package org.marigoldmill.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Formats the state of an entry instance as text. */
final class StateText {
  private static final ObjectMapper JSON = new ObjectMapper();

  private StateText() {}

  /** Returns the JSON indented, or unchanged if it cannot be parsed. */
  static String indentJson(String json) {
    try {
      return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(JSON.readTree(json));
    } catch (JsonProcessingException e) {
      return json;
    }
  }
}
