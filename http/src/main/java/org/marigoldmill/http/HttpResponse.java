package org.marigoldmill.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import java.util.List;
import java.util.Optional;
import org.marigoldmill.core.error.MarigoldmillException;

/**
 * A complete HTTP response.
 *
 * @param status HTTP status code
 * @param headers headers in order
 * @param body body, empty for none
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(int status, List<HttpCall.Header> headers, byte[] body) {

  /** Creates a response with status 200 and a message as JSON. */
  public static HttpResponse json(MessageOrBuilder message) {
    return json(200, ProtoJson.compact(message));
  }

  /** Creates a response with JSON text. */
  public static HttpResponse json(int status, String json) {
    return new HttpResponse(
        status,
        List.of(new HttpCall.Header("Content-Type", "application/json")),
        json.getBytes(UTF_8));
  }

  /** Creates a response with plain text. */
  public static HttpResponse text(int status, String text) {
    return new HttpResponse(
        status,
        List.of(new HttpCall.Header("Content-Type", "text/plain; charset=utf-8")),
        text.getBytes(UTF_8));
  }

  /** Returns the body decoded as UTF-8. */
  public String text() {
    return new String(body, UTF_8);
  }

  /**
   * Parses the body as JSON.
   *
   * @param prototype default instance of the expected type
   * @throws MarigoldmillException of kind BAD_REQUEST when the body is not such a message
   */
  public <M extends Message> M message(M prototype) {
    return ProtoJson.parse(body, prototype);
  }

  /** Returns the first value of a header. */
  public Optional<String> header(String name) {
    return HttpCall.Header.first(headers, name);
  }

  /** Returns whether the status is in the 2xx range. */
  public boolean successful() {
    return status / 100 == 2;
  }
}
