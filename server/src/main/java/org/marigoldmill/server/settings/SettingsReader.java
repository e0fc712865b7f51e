package org.marigoldmill.server.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
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
import java.util.Optional;
import java.util.stream.Collectors;
import org.marigoldmill.core.rules.RuleChecker;
import org.marigoldmill.core.rules.ShouldMatchRule;
import org.marigoldmill.core.rules.Violation;

/**
 * Reads a settings file onto a message of the schema, and finds all its mistakes.
 *
 * <pre>{@code
 * ServeSettings settings = SettingsReader.read(path, ServeSettings.getDefaultInstance());
 * }</pre>
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads a file.
   *
   * @param file path of a TOML file
   * @param prototype default instance of the settings message
   * @return the settings, with defaults filled in
   * @throws InvalidSettings when the file has mistakes; the message names all of them
   */
  public static <M extends Message> M read(Path file, M prototype) {
    try {
      return parse(file.toString(), Files.readString(file), prototype);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read " + file, e);
    }
  }

  /** Parses the text of a file. */
  public static <M extends Message> M parse(String file, String toml, M prototype) {
    List<Violation> violations = new ArrayList<>();
    Message.Builder builder = prototype.newBuilderForType();
    Optional<JsonNode> root = tree(toml, violations);
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

  private static Optional<JsonNode> tree(String toml, List<Violation> violations) {
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
                violations.add(ShouldMatchRule.shouldBeKnown(key, names(descriptor)));
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
    value(field, node)
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
      value(field, element)
          .ifPresentOrElse(
              v -> builder.addRepeatedField(field, v),
              () -> violations.add(ShouldMatchRule.shouldBeAllowed(elementKey, field, element)));
    }
  }

  private static Optional<Object> value(FieldDescriptor field, JsonNode node) {
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

  private static String names(Descriptor descriptor) {
    return descriptor.getFields().stream()
        .map(FieldDescriptor::getName)
        .collect(Collectors.joining(", "));
  }
}
