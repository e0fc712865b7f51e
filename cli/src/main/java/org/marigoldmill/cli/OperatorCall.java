package org.marigoldmill.cli;

import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import java.util.function.Function;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.ProtoJson;

/** A call from a command to an entry instance's operator address. */
final class OperatorCall {
  static final String FORMAT = "format";
  private static final String AT = "at";
  private static final String DEFAULT_ADDRESS = "127.0.0.1:8081";
  private static final long CONNECT_MS = 1_000;
  private static final long ANSWER_MS = 30_000;

  private OperatorCall() {}

  static void declare(OptionParser parser) {
    parser
        .accepts(AT, "Operator address of an entry instance")
        .withRequiredArg()
        .defaultsTo(DEFAULT_ADDRESS);
  }

  static void declareFormat(OptionParser parser) {
    parser.accepts(FORMAT, "text or json").withRequiredArg().defaultsTo("text");
  }

  static HttpResponse get(OptionSet options, String path) {
    return send(HttpCall.get(Command.required(options, AT), path));
  }

  static HttpResponse post(OptionSet options, String path, byte[] body) {
    return send(HttpCall.post(Command.required(options, AT), path, body));
  }

  /** Prints a message in the format that was asked for. */
  static <M extends Message> void print(OptionSet options, M message, Function<M, String> asText) {
    System.out.println(json(options) ? ProtoJson.compact(message) : asText.apply(message));
  }

  /** Returns whether JSON was asked for. */
  static boolean json(OptionSet options) {
    String format = options.valueOf(FORMAT).toString();
    if (!format.equals("json") && !format.equals("text")) {
      throw new UsageException("--format: expected text or json but found '" + format + "'");
    }
    return format.equals("json");
  }

  static String pretty(MessageOrBuilder message) {
    return ProtoJson.pretty(message);
  }

  private static HttpResponse send(HttpCall call) {
    try (HttpClient client = HttpClient.create("operator-call", 1)) {
      return client.exchange(call.timeouts(CONNECT_MS, ANSWER_MS, ANSWER_MS));
    }
  }
}
