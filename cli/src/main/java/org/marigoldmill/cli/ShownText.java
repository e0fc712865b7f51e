package org.marigoldmill.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Text form of shown state. */
final class ShownText {
  private static final ObjectMapper JSON = new ObjectMapper();

  private ShownText() {}

  static String indented(String json) {
    try {
      return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(JSON.readTree(json));
    } catch (JsonProcessingException e) {
      return json;
    }
  }
}
