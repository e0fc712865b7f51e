package org.marigoldmill.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import java.util.List;
import java.util.Optional;

/**
 * A whole answer.
 *
 * @param status HTTP status
 * @param headers headers in order
 * @param body body bytes
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(int status, List<HttpCall.Header> headers, byte[] body) {

  /** Returns an answer that carries a message as JSON. */
  public static HttpResponse json(MessageOrBuilder message) {
    return json(200, ProtoJson.compact(message));
  }

  /** Returns an answer that carries JSON text. */
  public static HttpResponse json(int status, String json) {
    return new HttpResponse(
        status,
        List.of(new HttpCall.Header("Content-Type", "application/json")),
        json.getBytes(UTF_8));
  }

  /** Returns an answer that carries plain text. */
  public static HttpResponse text(int status, String text) {
    return new HttpResponse(
        status,
        List.of(new HttpCall.Header("Content-Type", "text/plain; charset=utf-8")),
        text.getBytes(UTF_8));
  }

  /** Returns the body as text. */
  public String text() {
    return new String(body, UTF_8);
  }

  /** Returns the body as a message. */
  public <M extends Message> M message(M prototype) {
    return ProtoJson.parse(body, prototype);
  }

  /** Returns the first value of a header. */
  public Optional<String> header(String name) {
    return HttpCall.Header.first(headers, name);
  }

  /** Returns whether the status is of the 2xx class. */
  public boolean successful() {
    return status / 100 == 2;
  }
}
