package org.marigoldmill.server.deployment;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.marigoldmill.core.weights.WeightPlan;
import org.marigoldmill.http.HttpAnswer;
import org.marigoldmill.http.HttpCall;

/** Port that speaks to upstreams: what an attempt carries, and what an answer says of it. */
public interface UpstreamProtocol {

  /**
   * One request to one upstream.
   *
   * @param requestId id that the caller gave
   * @param engineId the only upstream that may run it
   * @param host host that the caller named
   * @param method HTTP method
   * @param path path and query
   * @param headers headers that the caller sent to the upstream
   * @param body whole body
   * @param organisation organisation that it runs for, if any
   * @param lastEventId id of the last event that has arrived, when a stream goes on
   * @param remainingMs time that the caller still waits, in milliseconds
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Attempt(
      String requestId,
      String engineId,
      String host,
      String method,
      String path,
      List<HttpCall.Header> headers,
      byte[] body,
      Optional<String> organisation,
      OptionalLong lastEventId,
      long remainingMs) {}

  /**
   * The load that an upstream tells with an answer.
   *
   * @param running requests that it runs
   * @param waiting requests that wait there
   */
  record UpstreamLoad(int running, int waiting) {}

  /**
   * What an engine says of itself when asked, some hundred milliseconds late.
   *
   * @param busy whether it carries out an order
   * @param ordersAccepted orders that it has accepted in this life
   * @param versions version of the weights of each model
   */
  record EngineReport(boolean busy, long ordersAccepted, Map<String, Long> versions) {}

  /** What an upstream answered to an order for weights. */
  enum OrderAnswer {
    /** The order is being carried out. */
    ACCEPTED,
    /** The upstream has these weights already. */
    HOLDS,
    /** The upstream carries out another order, or has accepted one more than expected. */
    BUSY,
    /** The upstream will not carry it out. */
    REFUSED
  }

  /** Returns the call that an attempt makes at an address. */
  HttpCall attemptCall(String address, Attempt attempt);

  /** Returns whether an answer says that the upstream did not run the request. */
  boolean notRun(int status, List<HttpCall.Header> headers);

  /** Returns whether an answer belongs to a request. */
  boolean matchesRequest(String requestId, List<HttpCall.Header> headers);

  /** Returns the upstream's proof that the answer is its own. */
  Optional<String> proof(List<HttpCall.Header> headers);

  /** Returns the version of the weights that an answer starts with. */
  OptionalLong weightVersion(List<HttpCall.Header> headers);

  /** Returns the name of the line in which an event tells another version. */
  String versionField();

  /** Returns the load that an answer tells. */
  Optional<UpstreamLoad> upstreamLoad(List<HttpCall.Header> headers);

  /** Returns the call that asks an engine about itself. */
  HttpCall report(String address);

  /** Returns an engine's report, when the answer holds one. */
  Optional<EngineReport> report(HttpAnswer answer);

  /** Returns the call that orders other weights. */
  HttpCall orderCall(
      String address,
      String engineId,
      WeightPlan.Load load,
      String holder,
      long epoch,
      long expectedOrders);

  /** Returns what an answer to an order means. */
  OrderAnswer orderAnswer(HttpAnswer answer);
}
