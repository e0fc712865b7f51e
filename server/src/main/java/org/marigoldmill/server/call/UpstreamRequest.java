package org.marigoldmill.server.call;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.schema.platform.PlatformInstance;

/** Translates a caller's request into the request to an upstream, and the response head back. */
final class UpstreamRequest {
  static final String REQUEST_ID = "X-Request-Id";
  private static final long CONNECT_TIMEOUT_MS = 500;
  private static final Set<String> STRIPPED_REQUEST_HEADERS =
      Set.of(
          "authorization",
          "proxy-authorization",
          "x-api-key",
          "cookie",
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "content-length",
          "expect",
          "x-request-id",
          "x-organisation",
          "traceparent",
          "tracestate");
  private static final Set<String> STRIPPED_RESPONSE_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "set-cookie",
          "x-request-id",
          // Callers take this header for a statement of this service.
          "marigoldmill-run",
          "date");

  private UpstreamRequest() {}

  static HttpCall create(
      PlatformInstance upstream, CallContext call, String requestId, List<Header> traceHeaders) {
    HttpServerExchange exchange = call.exchange();
    List<Header> headers = new ArrayList<>(forwardedHeaders(exchange));
    headers.add(new Header(REQUEST_ID, requestId));
    headers.add(new Header("X-Organisation", call.organisation()));
    headers.addAll(traceHeaders);
    return HttpCall.post(upstream.getAddress(), call.path(), call.body())
        .method(exchange.getRequestMethod().toString())
        .headers(headers)
        .timeouts(
            CONNECT_TIMEOUT_MS,
            call.service().getProgressTimeoutMs(),
            Math.max(1, call.deadlineMs() - System.nanoTime() / 1_000_000))
        .freshConnection(!call.service().getIdempotent());
  }

  static void copyResponseHead(HttpServerExchange exchange, int status, List<Header> headers) {
    exchange.setStatusCode(status);
    headers.stream()
        .filter(h -> !STRIPPED_RESPONSE_HEADERS.contains(h.name().toLowerCase(Locale.ROOT)))
        .forEach(h -> exchange.getResponseHeaders().add(new HttpString(h.name()), h.value()));
  }

  /** Returns the API key of a request without its scheme, or an empty string if it has none. */
  static String apiKey(HttpServerExchange exchange) {
    String bearer = exchange.getRequestHeaders().getFirst("Authorization");
    if (bearer != null && bearer.regionMatches(true, 0, "Bearer ", 0, 7)) {
      return bearer.substring(7).trim();
    }
    String plain = exchange.getRequestHeaders().getFirst("X-Api-Key");
    return plain == null ? "" : plain.trim();
  }

  /** Returns whether the path, the body or a forwarded header contains the API key. */
  static boolean wouldForwardKey(
      String key, HttpServerExchange exchange, String path, byte[] body) {
    if (key.isEmpty()) {
      return false;
    }
    return path.contains(key)
        || new String(body, UTF_8).contains(key)
        || forwardedHeaders(exchange).stream().anyMatch(h -> h.value().contains(key));
  }

  private static List<Header> forwardedHeaders(HttpServerExchange exchange) {
    List<Header> headers = new ArrayList<>();
    Set<String> hopByHop = headersNamedByConnection(exchange);
    for (HeaderValues values : exchange.getRequestHeaders()) {
      String name = values.getHeaderName().toString();
      String lower = name.toLowerCase(Locale.ROOT);
      if (!STRIPPED_REQUEST_HEADERS.contains(lower) && !hopByHop.contains(lower)) {
        values.forEach(v -> headers.add(new Header(name, v)));
      }
    }
    return headers;
  }

  private static Set<String> headersNamedByConnection(HttpServerExchange exchange) {
    HeaderValues connection = exchange.getRequestHeaders().get("Connection");
    if (connection == null) {
      return Set.of();
    }
    return connection.stream()
        .flatMap(v -> Arrays.stream(v.split(",", -1)))
        .map(v -> v.trim().toLowerCase(Locale.ROOT))
        .collect(Collectors.toSet());
  }
}
