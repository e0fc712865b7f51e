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

/** Port that decodes callers' requests and encodes responses that no upstream produced. */
public interface CallerProtocol {

  /** Operation on a submission. */
  enum Action {
    /** Lists results from a position on. */
    READ,
    /** Reads the body of one item. */
    ITEM,
    /** Ends the submission. */
    END
  }

  /**
   * A request that concerns an existing submission.
   *
   * @param action requested operation
   * @param submission id of the submission
   * @param item id of the item for {@code ITEM}, otherwise an empty string
   * @param after position of the first result to return
   * @param waitMs maximum time to wait for a result, in milliseconds
   */
  record SubmissionQuery(Action action, String submission, String item, int after, long waitMs) {}

  /** A submission decoded from a request body. */
  record ParsedSubmission(Submission submission, List<RolloutItem> items) {}

  /** Returns the request id that the caller has given. */
  Optional<String> requestId(HttpServerExchange exchange);

  /** Returns the API key of a request. */
  Optional<String> apiKey(HttpServerExchange exchange);

  /** Returns the time for which the caller waits, in milliseconds. */
  OptionalLong deadlineMs(HttpServerExchange exchange);

  /**
   * A stream that a caller resumes after its connection broke.
   *
   * @param firstRequest id of the request that brought the first event, if the caller names it
   */
  record ResumedStream(Optional<String> firstRequest) {}

  /** Returns the stream that a request resumes, or empty if it starts one. */
  Optional<ResumedStream> resumedStream(HttpServerExchange exchange);

  /** Returns the request headers to forward to an upstream. */
  List<HttpCall.Header> forwardedHeaders(HttpServerExchange exchange);

  /**
   * Returns the headers with which a request is sent to another instance, key included.
   *
   * @param remainingMs time left until the caller's deadline, in milliseconds
   * @param resumeAfter id of the event after which to resume a stream that was begun; empty to send
   *     the request as the caller did
   */
  List<HttpCall.Header> relayedHeaders(
      HttpServerExchange exchange, long remainingMs, OptionalLong resumeAfter);

  /** Returns the headers of an upstream's response to return to the caller. */
  List<HttpCall.Header> returnedHeaders(List<HttpCall.Header> headers);

  /**
   * Returns the query for a submission, or empty if the request's path is not that of a submission.
   *
   * @throws org.marigoldmill.core.error.MarigoldmillException of kind BAD_REQUEST if malformed
   */
  Optional<SubmissionQuery> submissionQuery(HttpServerExchange exchange);

  /**
   * Decodes a submission from a request body.
   *
   * @throws org.marigoldmill.core.error.MarigoldmillException of kind BAD_REQUEST if malformed
   */
  ParsedSubmission parseSubmission(
      String id, String organisation, String host, String path, Route route, byte[] body);

  /** Encodes a page of results that starts at a position. */
  HttpResponse resultPage(Submission submission, int after, List<ItemResult> page);

  /**
   * Encodes an error response.
   *
   * @param retryAfterMs time after which a retry may succeed, in milliseconds; 0 to give none
   */
  HttpResponse errorResponse(ErrorKind kind, long retryAfterMs);
}
