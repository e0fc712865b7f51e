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

/** Calls to the operator address of an entry instance, and the options that they share. */
final class OperatorCall {
  static final String FORMAT_OPTION = "format";
  private static final String ADDRESS_OPTION = "at";
  private static final String DEFAULT_ADDRESS = "127.0.0.1:8081";
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long RESPONSE_TIMEOUT_MS = 30_000;

  private OperatorCall() {}

  /** Declares {@code --at}, the operator address to call. */
  static void declareAddress(OptionParser parser) {
    parser
        .accepts(ADDRESS_OPTION, "Operator address of an entry instance")
        .withRequiredArg()
        .defaultsTo(DEFAULT_ADDRESS);
  }

  /** Declares {@code --format}, the output format. */
  static void declareFormat(OptionParser parser) {
    parser
        .accepts(FORMAT_OPTION, "Output format: text or json")
        .withRequiredArg()
        .defaultsTo("text");
  }

  /** Sends a GET request to the address given by {@code --at}. */
  static HttpResponse get(OptionSet options, String path) {
    return send(HttpCall.get(Command.requiredOption(options, ADDRESS_OPTION), path));
  }

  /** Sends a POST request to the address given by {@code --at}. */
  static HttpResponse post(OptionSet options, String path, byte[] body) {
    return send(HttpCall.post(Command.requiredOption(options, ADDRESS_OPTION), path, body));
  }

  /** Prints a message to standard output in the format given by {@code --format}. */
  static <M extends Message> void print(
      OptionSet options, M message, Function<M, String> textFormatter) {
    System.out.println(
        isJsonRequested(options) ? ProtoJson.compact(message) : textFormatter.apply(message));
  }

  /**
   * Returns whether {@code --format} is {@code json}.
   *
   * @throws UsageException if the format is neither {@code text} nor {@code json}
   */
  static boolean isJsonRequested(OptionSet options) {
    String format = options.valueOf(FORMAT_OPTION).toString();
    if (!format.equals("json") && !format.equals("text")) {
      throw new UsageException("--format: expected text or json but found '" + format + "'");
    }
    return format.equals("json");
  }

  /** Formats a message as indented JSON. */
  static String pretty(MessageOrBuilder message) {
    return ProtoJson.pretty(message);
  }

  private static HttpResponse send(HttpCall call) {
    try (HttpClient client = HttpClient.create("operator-call", 1)) {
      return client.exchange(
          call.timeouts(CONNECT_TIMEOUT_MS, RESPONSE_TIMEOUT_MS, RESPONSE_TIMEOUT_MS));
    }
  }
}
