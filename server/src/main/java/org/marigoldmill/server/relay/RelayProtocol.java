package org.marigoldmill.server.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HttpString;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.marigoldmill.http.HttpCall.Header;

/**
 * Headers between the instance at which a request has arrived and the one that carries it.
 *
 * <p>The request itself is passed on as its caller sent it, so that the carrying instance checks
 * the key and the route as for a caller of its own, and needs to trust nobody.
 */
public final class RelayProtocol {
  private static final String PREFIX = "Marigoldmill-Relay-";
  private static final String CONFIG = PREFIX + "Config";
  private static final String ATTEMPTS = PREFIX + "Attempts";
  private static final String VERDICT = PREFIX + "Verdict";
  private static final AttachmentKey<Carried> CARRIED = AttachmentKey.create(Carried.class);

  /** What the carrying instance says of the request. */
  public enum Verdict {
    /** The response is the upstream's. */
    ANSWERED,
    /** The request has not run, and will not run through that instance. */
    NOT_RUN,
    /** There is no answer, and the request may have run. */
    MAYBE_RUN
  }

  /**
   * A request that is carried for another instance.
   *
   * @param configVersion version of the configuration in force at the other instance
   * @param attempts number of attempts that may be made
   */
  public record Carried(long configVersion, int attempts) {}

  private RelayProtocol() {}

  /** Returns the headers that ask an instance to carry a request. */
  static List<Header> requestHeaders(Carried carried) {
    return List.of(
        new Header(CONFIG, Long.toString(carried.configVersion())),
        new Header(ATTEMPTS, Integer.toString(carried.attempts())));
  }

  /** Marks a request that has arrived from another instance, before it is handled. */
  public static void markCarried(HttpServerExchange exchange) {
    exchange.putAttachment(
        CARRIED, new Carried(number(exchange, CONFIG), (int) number(exchange, ATTEMPTS)));
  }

  /** Returns what the other instance says of a request that it sent here, or empty for callers. */
  public static Optional<Carried> carried(HttpServerExchange exchange) {
    return Optional.ofNullable(exchange.getAttachment(CARRIED));
  }

  /** Sets the verdict of a response that has not been started, if the request is carried. */
  public static void setVerdict(HttpServerExchange exchange, Verdict verdict) {
    if (carried(exchange).isEmpty()) {
      return;
    }
    exchange
        .getResponseHeaders()
        .put(new HttpString(VERDICT), verdict.name().toLowerCase(Locale.ROOT));
  }

  /** Returns the verdict of a response; one without is not of an instance that carries requests. */
  static Verdict verdict(List<Header> headers) {
    return Header.first(headers, VERDICT).flatMap(RelayProtocol::verdict).orElse(Verdict.MAYBE_RUN);
  }

  private static Optional<Verdict> verdict(String value) {
    return List.of(Verdict.values()).stream()
        .filter(v -> v.name().equalsIgnoreCase(value.trim()))
        .findFirst();
  }

  /** Returns the headers without those of this protocol. */
  public static List<Header> withoutRelayHeaders(List<Header> headers) {
    String prefix = PREFIX.toLowerCase(Locale.ROOT);
    return headers.stream()
        .filter(h -> !h.name().toLowerCase(Locale.ROOT).startsWith(prefix))
        .toList();
  }

  /** Returns the value of a header, or 0 if it is absent or no number; 0 is accepted nowhere. */
  private static long number(HttpServerExchange exchange, String name) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value != null && value.matches("\\d{1,18}") ? Long.parseLong(value) : 0;
  }
}
