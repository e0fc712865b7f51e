package org.marigoldmill.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A parsed line of an instance's log.
 *
 * @param timestampMs time of writing, in Unix milliseconds
 * @param instance instance that wrote it
 * @param logger simple name of the class that wrote it
 * @param message formatted message, with {@code name=value} pairs
 */
public record LogLine(long timestampMs, String instance, String logger, String message) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Parses a line in JSON, as Logback writes it.
   *
   * <p>Log collectors put a prefix before the JSON object. Its last word is taken as the name of
   * the instance; without a prefix, the source is.
   *
   * @param source name of the file or stream that the line was read from
   * @param text raw line
   * @return the parsed line, or empty if the text is not a log line
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

  /** Returns a predicate that matches lines whose message contains the id as a whole word. */
  static Predicate<LogLine> mentioning(String id) {
    Pattern idPattern = Pattern.compile("(?<![\\w-])" + Pattern.quote(id) + "(?![\\w-])");
    return line -> idPattern.matcher(line.message()).find();
  }

  /** Returns the value of the first {@code name=value} pair with this name in the message. */
  public Optional<String> value(String name) {
    Matcher matcher =
        Pattern.compile("(?<!\\w)" + Pattern.quote(name) + "=(\\S+)").matcher(message);
    return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  private static String instance(String source, String prefix) {
    String[] words = prefix.strip().split("\\s+", -1);
    String last = words[words.length - 1];
    return last.isEmpty() ? source : last;
  }
}
