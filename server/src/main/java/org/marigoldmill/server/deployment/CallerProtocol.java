package org.marigoldmill.server.deployment;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;

/** Port that reads callers' requests and writes the answers that are not an upstream's. */
public interface CallerProtocol {

  /** What a request asks of a submission. */
  enum Action {
    READ,
    ITEM,
    END
  }

  /**
   * A question about a submission.
   *
   * @param action what is asked
   * @param submission id of the submission
   * @param item id of an item, for its body
   * @param after position to read from
   * @param waitMs longest wait for a result, in milliseconds
   */
  record Question(Action action, String submission, String item, int after, long waitMs) {}

  /** A submission as it was sent. */
  record Submitted(Submission head, List<RolloutItem> items) {}

  /** Returns the id of a request. */
  Optional<String> requestId(HttpServerExchange exchange);

  /** Returns the key of a request. */
  Optional<String> key(HttpServerExchange exchange);

  /** Returns how long the caller waits, in milliseconds. */
  OptionalLong deadlineMs(HttpServerExchange exchange);

  /** Returns the headers that go on to an upstream. */
  List<HttpCall.Header> passed(HttpServerExchange exchange);

  /** Returns the headers of an upstream's answer that go back to the caller. */
  List<HttpCall.Header> returned(List<HttpCall.Header> headers);

  /** Returns the question about a submission, when the request is one. */
  Optional<Question> question(HttpServerExchange exchange);

  /**
   * Reads a submission.
   *
   * @throws org.marigoldmill.core.error.MarigoldmillException of kind BAD_REQUEST when malformed
   */
  Submitted submitted(
      String id, String organisation, String host, String path, Route route, byte[] body);

  /** Returns the answer that lists results from a position on. */
  HttpResponse results(Submission submission, int after, List<ItemResult> page);

  /** Returns the answer of a refusal. */
  HttpResponse refusal(ErrorKind kind, long retryAfterMs);
}
