package org.marigoldmill.server.deployment;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.marigoldmill.core.balance.LoadReport;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.weights.WeightPlan;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpResponse;

/** Port that encodes requests to upstreams and decodes their responses. */
public interface UpstreamProtocol {

  /**
   * One attempt to run a request on one upstream.
   *
   * @param requestId request id that the caller has given
   * @param engineId id of the only upstream that may run the request
   * @param incarnation start time of the upstream, in Unix milliseconds
   * @param host host that the caller has addressed
   * @param method HTTP method
   * @param path path and query
   * @param headers forwarded headers of the caller
   * @param body complete body
   * @param organisation organisation for which the request runs, if any
   * @param lastEventId id of the last event received, if the attempt resumes a stream
   * @param remainingMs time left until the caller's deadline, in milliseconds
   * @param urgency which requests go first at the upstream; empty to say nothing of it
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Attempt(
      String requestId,
      String engineId,
      long incarnation,
      String host,
      String method,
      String path,
      List<HttpCall.Header> headers,
      byte[] body,
      Optional<String> organisation,
      OptionalLong lastEventId,
      long remainingMs,
      Optional<Urgency> urgency) {}

  /**
   * The load that an upstream reports with a response.
   *
   * @param running number of requests in progress
   * @param waiting number of queued requests
   * @param slots maximum number of concurrent requests; 0 if unknown
   * @param slowdown time that work takes now, as a multiple of the usual time; 1 if unknown
   */
  record UpstreamLoad(int running, int waiting, int slots, double slowdown) {
    /** Returns the load as the choice of upstreams takes it. */
    public LoadReport toReport() {
      return new LoadReport(running, waiting, slots, slowdown);
    }
  }

  /**
   * The status report of an engine, which lags some hundred milliseconds behind.
   *
   * @param busy whether the engine is executing an order to load weights
   * @param ordersAccepted number of orders that this incarnation has accepted
   * @param versions version of the weights by model
   */
  record EngineReport(boolean busy, long ordersAccepted, Map<String, Long> versions) {}

  /** Answer of an upstream to an order to load weights. */
  enum OrderAnswer {
    /** The upstream has started to load the weights. */
    ACCEPTED,
    /** The upstream already has these weights. */
    HOLDS,
    /** The upstream is loading, or has accepted more orders than {@code expectedOrders}. */
    BUSY,
    /** The upstream will not load the weights. */
    REFUSED
  }

  /** Builds the HTTP call of an attempt. */
  HttpCall attemptCall(String address, Attempt attempt);

  /** Returns whether a response states that the upstream has not run the request. */
  boolean notRun(int status, List<HttpCall.Header> headers);

  /** Returns whether a response belongs to a request; true if the response names no request id. */
  boolean matchesRequest(String requestId, List<HttpCall.Header> headers);

  /** Returns the seal by which the upstream proves that the response is its own. */
  Optional<String> proof(List<HttpCall.Header> headers);

  /** Returns the version of the weights under which the response starts. */
  OptionalLong weightVersion(List<HttpCall.Header> headers);

  /** Returns the name of the event field that announces another version of the weights. */
  String versionField();

  /** Returns the load that a response reports. */
  Optional<UpstreamLoad> upstreamLoad(List<HttpCall.Header> headers);

  /**
   * Returns the requests a second that the upstream, in this response, accepts from all instances
   * together; empty if it names no limit.
   */
  OptionalDouble requestLimit(List<HttpCall.Header> headers);

  /**
   * Returns how long the upstream stays cold from this response on, in milliseconds, and 0 if it is
   * warm; empty if the response does not say.
   */
  OptionalLong warmupLeftMs(List<HttpCall.Header> headers);

  /** Returns whether the upstream says in this response that it leaves. */
  boolean leaving(List<HttpCall.Header> headers);

  /** Builds the call that requests an engine's report. */
  HttpCall report(String address);

  /** Decodes an engine's report, or returns empty if the response contains none. */
  Optional<EngineReport> report(HttpResponse response);

  /**
   * Builds the call that orders an engine to load weights.
   *
   * @param load weights to load
   * @param holder name of the instance that holds the duty lease
   * @param epoch epoch of the lease, used as fencing token
   * @param expectedOrders number of orders that the engine must have accepted before this one
   */
  HttpCall orderCall(
      String address,
      String engineId,
      WeightPlan.Load load,
      String holder,
      long epoch,
      long expectedOrders);

  /** Decodes the response to an order to load weights. */
  OrderAnswer orderAnswer(HttpResponse response);
}
