package org.marigoldmill.server.deployment;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.route.Route;
import org.marigoldmill.http.HttpAnswer;
import org.marigoldmill.http.HttpCall;
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
   * @param submissionId id of the submission
   * @param itemId id of an item, for its body
   * @param after position to read from
   * @param waitMs longest wait for a result, in milliseconds
   */
  record SubmissionQuery(
      Action action, String submissionId, String itemId, int after, long waitMs) {}

  /** A submission as it was sent. */
  record ParsedSubmission(Submission submission, List<RolloutItem> items) {}

  /** Returns the id of a request. */
  Optional<String> requestId(HttpServerExchange exchange);

  /** Returns the key of a request. */
  Optional<String> apiKey(HttpServerExchange exchange);

  /** Returns how long the caller waits, in milliseconds. */
  OptionalLong deadlineMs(HttpServerExchange exchange);

  /** Returns the headers that go on to an upstream. */
  List<HttpCall.Header> forwardedHeaders(HttpServerExchange exchange);

  /** Returns the headers of an upstream's answer that go back to the caller. */
  List<HttpCall.Header> returnedHeaders(List<HttpCall.Header> headers);

  /** Returns the question about a submission, when the request is one. */
  Optional<SubmissionQuery> submissionQuery(HttpServerExchange exchange);

  /**
   * Reads a submission.
   *
   * @throws org.marigoldmill.core.error.MarigoldmillException of kind BAD_REQUEST when malformed
   */
  ParsedSubmission parseSubmission(
      String id, String organisation, String host, String path, Route route, byte[] body);

  /** Returns the answer that lists results from a position on. */
  HttpAnswer resultPage(Submission submission, int after, List<ItemResult> page);

  /** Returns the answer of a refusal. */
  HttpAnswer refusal(ErrorKind kind, long retryAfterMs);
}
