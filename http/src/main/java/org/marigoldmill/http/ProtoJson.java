package org.marigoldmill.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;

/** Converts protobuf messages to and from JSON. */
public final class ProtoJson {
  private static final JsonFormat.Printer COMPACT =
      JsonFormat.printer().omittingInsignificantWhitespace();
  private static final JsonFormat.Printer PRETTY = JsonFormat.printer();
  private static final JsonFormat.Parser PARSER = JsonFormat.parser().ignoringUnknownFields();

  private ProtoJson() {}

  /** Returns a message as JSON on one line. */
  public static String compact(MessageOrBuilder message) {
    return print(COMPACT, message);
  }

  /** Returns a message as indented JSON. */
  public static String pretty(MessageOrBuilder message) {
    return print(PRETTY, message);
  }

  /** Returns a message as UTF-8 bytes of one-line JSON. */
  public static byte[] bytes(MessageOrBuilder message) {
    return compact(message).getBytes(UTF_8);
  }

  /**
   * Parses a message from UTF-8 bytes, ignoring unknown fields.
   *
   * @param prototype default instance of the expected type
   * @throws MarigoldmillException of kind BAD_REQUEST when the JSON is not such a message
   */
  public static <M extends Message> M parse(byte[] json, M prototype) {
    return parse(new String(json, UTF_8), prototype);
  }

  /**
   * Parses a message from text, ignoring unknown fields.
   *
   * @param prototype default instance of the expected type
   * @throws MarigoldmillException of kind BAD_REQUEST when the JSON is not such a message
   */
  public static <M extends Message> M parse(String json, M prototype) {
    Message.Builder builder = prototype.newBuilderForType();
    try {
      PARSER.merge(json, builder);
    } catch (InvalidProtocolBufferException e) {
      throw MarigoldmillException.of(ErrorKind.BAD_REQUEST, e.getMessage(), e);
    }
    @SuppressWarnings("unchecked")
    M message = (M) builder.build();
    return message;
  }

  private static String print(JsonFormat.Printer printer, MessageOrBuilder message) {
    try {
      return printer.print(message);
    } catch (InvalidProtocolBufferException e) {
      throw MarigoldmillException.of(ErrorKind.INTERNAL, e.getMessage(), e);
    }
  }
}
