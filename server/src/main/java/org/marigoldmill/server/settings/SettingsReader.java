package org.marigoldmill.server.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.marigoldmill.core.rules.RuleChecker;
import org.marigoldmill.core.rules.ShouldMatchRule;
import org.marigoldmill.core.rules.Violation;

/**
 * Reads a settings file into a protobuf message and collects all violations of its rules.
 *
 * <pre>{@code
 * ServeSettings settings = SettingsReader.read(path, ServeSettings.getDefaultInstance());
 * }</pre>
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads and validates a settings file.
   *
   * @param file path of a TOML file
   * @param prototype default instance of the settings message
   * @return the settings, with defaults for the keys that the file omits
   * @throws InvalidSettings if the file is invalid; the message lists all violations
   * @throws UncheckedIOException if the file cannot be read
   */
  public static <M extends Message> M read(Path file, M prototype) {
    return parse(file.toString(), textOf(file), prototype);
  }

  /**
   * Settings and a table of texts whose keys are names that the schema does not know.
   *
   * @param table texts by key; empty if the file has no such table
   */
  public record WithTable<M extends Message>(M settings, Map<String, String> table) {}

  /**
   * Reads and validates a settings file that may have a table of texts.
   *
   * @param more further settings in TOML, read as if they followed the file's text
   * @param tableKey key of the table
   * @throws InvalidSettings if the file is invalid; the message lists all violations
   * @throws UncheckedIOException if the file cannot be read
   */
  public static <M extends Message> WithTable<M> readWithTable(
      Path file, String more, M prototype, String tableKey) {
    return parseWithTable(file.toString(), textOf(file) + "\n" + more, prototype, tableKey);
  }

  private static String textOf(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read " + file, e);
    }
  }

  /**
   * Parses and validates the text of a settings file.
   *
   * @param file name of the file, for messages
   * @param toml text of the file
   * @param prototype default instance of the settings message
   * @return the settings, with defaults for the keys that the text omits
   * @throws InvalidSettings if the text is invalid; the message lists all violations
   */
  public static <M extends Message> M parse(String file, String toml, M prototype) {
    List<Violation> violations = new ArrayList<>();
    return build(file, parseToml(toml, violations), prototype, violations);
  }

  /** Parses and validates the text of a settings file that may have a table of texts. */
  static <M extends Message> WithTable<M> parseWithTable(
      String file, String toml, M prototype, String tableKey) {
    List<Violation> violations = new ArrayList<>();
    Optional<JsonNode> root = parseToml(toml, violations);
    Map<String, String> table = new TreeMap<>();
    root.filter(ObjectNode.class::isInstance)
        .flatMap(r -> Optional.ofNullable(((ObjectNode) r).remove(tableKey)))
        .ifPresent(node -> readTexts(tableKey, node, table, violations));
    return new WithTable<>(build(file, root, prototype, violations), Map.copyOf(table));
  }

  private static void readTexts(
      String tableKey, JsonNode node, Map<String, String> table, List<Violation> violations) {
    if (!node.isObject()) {
      violations.add(new Violation(tableKey, "a table", "'" + node + "'"));
    }
    node.properties()
        .forEach(
            e -> {
              if (e.getValue().isTextual()) {
                table.put(e.getKey(), e.getValue().textValue());
              } else {
                String key = tableKey + "." + e.getKey();
                violations.add(new Violation(key, "a text", "'" + e.getValue() + "'"));
              }
            });
  }

  private static <M extends Message> M build(
      String file, Optional<JsonNode> root, M prototype, List<Violation> violations) {
    Message.Builder builder = prototype.newBuilderForType();
    root.ifPresent(r -> readTable("", r, builder, violations));
    if (root.isPresent()) {
      RuleChecker.check(builder.build()).stream()
          .filter(v -> violations.stream().noneMatch(o -> o.key().equals(v.key())))
          .forEach(violations::add);
    }
    if (!violations.isEmpty()) {
      throw new InvalidSettings(file, violations);
    }
    @SuppressWarnings("unchecked")
    M settings = (M) RuleChecker.withDefaults(builder.build());
    return settings;
  }

  private static Optional<JsonNode> parseToml(String toml, List<Violation> violations) {
    try {
      return Optional.of(new TomlMapper().readTree(toml));
    } catch (JsonProcessingException e) {
      String line = e.getLocation() == null ? "?" : "" + e.getLocation().getLineNr();
      violations.add(new Violation("line " + line, "TOML", e.getOriginalMessage()));
      return Optional.empty();
    }
  }

  private static void readTable(
      String path, JsonNode table, Message.Builder builder, List<Violation> violations) {
    Descriptor descriptor = builder.getDescriptorForType();
    table
        .properties()
        .forEach(
            entry -> {
              String key = path.isEmpty() ? entry.getKey() : path + "." + entry.getKey();
              FieldDescriptor field = descriptor.findFieldByName(entry.getKey());
              if (field == null) {
                violations.add(ShouldMatchRule.shouldBeKnown(key, fieldNames(descriptor)));
              } else {
                readField(key, field, entry.getValue(), builder, violations);
              }
            });
  }

  private static void readField(
      String key,
      FieldDescriptor field,
      JsonNode node,
      Message.Builder builder,
      List<Violation> violations) {
    if (field.isRepeated()) {
      readList(key, field, node, builder, violations);
      return;
    }
    if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE && node.isObject()) {
      Message.Builder nested = builder.newBuilderForField(field);
      readTable(key, node, nested, violations);
      builder.setField(field, nested.build());
      return;
    }
    convert(field, node)
        .ifPresentOrElse(
            v -> builder.setField(field, v),
            () ->
                violations.add(
                    ShouldMatchRule.shouldBeAllowed(key, field, node.asText(node.toString()))));
  }

  private static void readList(
      String key,
      FieldDescriptor field,
      JsonNode node,
      Message.Builder builder,
      List<Violation> violations) {
    if (!node.isArray()) {
      violations.add(new Violation(key, "a list", "'" + node + "'"));
      return;
    }
    for (int i = 0; i < node.size(); i++) {
      JsonNode element = node.get(i);
      String elementKey = key + "[" + i + "]";
      convert(field, element)
          .ifPresentOrElse(
              v -> builder.addRepeatedField(field, v),
              () -> violations.add(ShouldMatchRule.shouldBeAllowed(elementKey, field, element)));
    }
  }

  private static Optional<Object> convert(FieldDescriptor field, JsonNode node) {
    return switch (field.getJavaType()) {
      case INT ->
          node.canConvertToInt() && node.isIntegralNumber()
              ? Optional.of(node.intValue())
              : Optional.empty();
      case LONG ->
          node.canConvertToLong() && node.isIntegralNumber()
              ? Optional.of(node.longValue())
              : Optional.empty();
      case DOUBLE -> node.isNumber() ? Optional.of(node.doubleValue()) : Optional.empty();
      case BOOLEAN -> node.isBoolean() ? Optional.of(node.booleanValue()) : Optional.empty();
      case STRING -> node.isTextual() ? Optional.of(node.textValue()) : Optional.empty();
      default -> Optional.empty();
    };
  }

  private static String fieldNames(Descriptor descriptor) {
    return descriptor.getFields().stream()
        .map(FieldDescriptor::getName)
        .collect(Collectors.joining(", "));
  }
}
