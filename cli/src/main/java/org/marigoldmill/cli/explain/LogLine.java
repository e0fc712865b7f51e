package org.marigoldmill.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of an instance's log.
 *
 * @param timestamp when it was written, in Unix milliseconds
 * @param instance instance that wrote it
 * @param logger short name of the class that wrote it
 * @param message what happened, with {@code name=value} pairs
 */
public record LogLine(long timestamp, String instance, String logger, String message) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Reads a line.
   *
   * <p>What stands before the JSON object, as tools that collect logs put it there, names the
   * instance; without it, the source of the line does.
   *
   * @param source where the line comes from
   * @param text the line
   * @return the line, or empty when it is no log line
   */
  public static Optional<LogLine> parse(String source, String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode node = MAPPER.readTree(text.substring(start));
      if (!node.path("formattedMessage").isTextual()) {
        return Optional.empty();
      }
      String logger = node.path("loggerName").asText("");
      return Optional.of(
          new LogLine(
              node.path("timestamp").asLong(),
              instance(source, text.substring(0, start)),
              logger.substring(logger.lastIndexOf('.') + 1),
              node.path("formattedMessage").textValue()));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  /** Returns a test of whether a line's message names an id as a whole word. */
  static Predicate<LogLine> naming(String id) {
    Pattern word = Pattern.compile("(?<![\\w-])" + Pattern.quote(id) + "(?![\\w-])");
    return line -> word.matcher(line.message()).find();
  }

  /** Returns the value of a pair in the message. */
  public Optional<String> value(String name) {
    Matcher pair = Pattern.compile("(?<!\\w)" + Pattern.quote(name) + "=(\\S+)").matcher(message);
    return pair.find() ? Optional.of(pair.group(1)) : Optional.empty();
  }

  private static String instance(String source, String prefix) {
    String[] words = prefix.strip().split("\\s+", -1);
    String last = words[words.length - 1];
    return last.isEmpty() ? source : last;
  }
}
