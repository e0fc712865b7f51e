package org.marigoldmill.core.rules;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.marigoldmill.schema.rules.FieldRule;
import org.marigoldmill.schema.rules.Format;
import org.marigoldmill.schema.rules.Rules;

/** Checks messages against the field rules of the schema, and sets defaults. */
public final class RuleChecker {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern ADDRESS =
      Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-f:]+\\]):\\d{1,5}");

  private RuleChecker() {}

  /** Returns the rule of a field. */
  public static FieldRule rule(FieldDescriptor field) {
    return field.getOptions().getExtension(Rules.rule);
  }

  /** Returns all violations in a message, in the order of its fields. */
  public static List<Violation> check(Message message) {
    List<Violation> violations = new ArrayList<>();
    checkMessage("", message, violations);
    return violations;
  }

  /** Returns the message with absent fields set to the defaults of the schema. */
  public static Message withDefaults(Message message) {
    Message.Builder builder = message.toBuilder();
    for (FieldDescriptor field : message.getDescriptorForType().getFields()) {
      if (field.isRepeated()) {
        setDefaultsInElements(builder, field);
      } else if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
        if (message.hasField(field)) {
          builder.setField(field, withDefaults((Message) message.getField(field)));
        }
      } else if (!rule(field).getDefaultValue().isEmpty() && isUnset(message, field)) {
        builder.setField(field, parse(field, rule(field).getDefaultValue()));
      }
    }
    return builder.build();
  }

  /** Returns a description of the values that the rule of a field allows. */
  public static String expectation(FieldDescriptor field) {
    FieldRule rule = rule(field);
    if (rule.getFormat() == Format.ADDRESS) {
      return "an IP address with a port, such as 127.0.0.1:8080";
    }
    if (rule.getFormat() == Format.NAME) {
      return "a name of a-z, 0-9 and -, at most 63 characters";
    }
    if (rule.getFormat() == Format.SHA256) {
      return "a SHA-256 as 64 hexadecimal digits";
    }
    String type =
        switch (field.getJavaType()) {
          case INT, LONG -> "a whole number";
          case DOUBLE, FLOAT -> "a number";
          case BOOLEAN -> "true or false";
          case STRING -> "a text";
          case MESSAGE -> "a table";
          case ENUM -> "one of " + field.getEnumType().getValues();
          case BYTE_STRING -> "bytes";
        };
    return hasBounds(rule) ? type + " from " + rule.getMin() + " to " + rule.getMax() : type;
  }

  private static void checkMessage(String path, Message message, List<Violation> violations) {
    for (FieldDescriptor field : message.getDescriptorForType().getFields()) {
      String key = path.isEmpty() ? field.getName() : path + "." + field.getName();
      if (field.isRepeated()) {
        checkRepeated(key, field, (List<?>) message.getField(field), violations);
      } else if (rule(field).getRequired() && isUnset(message, field)) {
        violations.add(ShouldMatchRule.shouldBePresent(key, field));
      } else if (!isUnset(message, field)) {
        checkValue(key, field, message.getField(field), violations);
      }
    }
  }

  private static void checkRepeated(
      String key, FieldDescriptor field, List<?> values, List<Violation> violations) {
    for (int i = 0; i < values.size(); i++) {
      checkValue(key + "[" + i + "]", field, values.get(i), violations);
    }
  }

  private static void checkValue(
      String key, FieldDescriptor field, Object value, List<Violation> violations) {
    if (value instanceof Message message) {
      checkMessage(key, message, violations);
    } else if (!isAllowed(field, value)) {
      violations.add(ShouldMatchRule.shouldBeAllowed(key, field, value));
    }
  }

  private static boolean isAllowed(FieldDescriptor field, Object value) {
    FieldRule rule = rule(field);
    if (value instanceof Number number && hasBounds(rule)) {
      return number.longValue() >= rule.getMin() && number.longValue() <= rule.getMax();
    }
    return switch (rule.getFormat()) {
      case NAME -> NAME.matcher(value.toString()).matches();
      case ADDRESS ->
          ADDRESS.matcher(value.toString()).matches() && isPortInRange(value.toString());
      case SHA256 -> SHA256.matcher(value.toString()).matches();
      default -> true;
    };
  }

  private static boolean isPortInRange(String address) {
    int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    return port <= 65_535;
  }

  private static boolean hasBounds(FieldRule rule) {
    return rule.getMin() != 0 || rule.getMax() != 0;
  }

  private static boolean isUnset(Message message, FieldDescriptor field) {
    return field.hasPresence()
        ? !message.hasField(field)
        : message.getField(field).equals(field.getDefaultValue());
  }

  private static void setDefaultsInElements(Message.Builder builder, FieldDescriptor field) {
    if (field.getJavaType() != FieldDescriptor.JavaType.MESSAGE) {
      return;
    }
    for (int i = 0; i < builder.getRepeatedFieldCount(field); i++) {
      Message element = (Message) builder.getRepeatedField(field, i);
      builder.setRepeatedField(field, i, withDefaults(element));
    }
  }

  private static Object parse(FieldDescriptor field, String text) {
    return switch (field.getJavaType()) {
      case INT -> Integer.valueOf(text);
      case LONG -> Long.valueOf(text);
      case DOUBLE -> Double.valueOf(text);
      case BOOLEAN -> Boolean.valueOf(text);
      default -> text;
    };
  }
}
