package org.marigoldmill.core.error;

import java.util.Locale;

/**
 * The complete list of error kinds, with the answer that a caller gets for each.
 *
 * <p>{@link Execution#NOT_RUN} guarantees that no upstream has run the request.
 */
public enum ErrorKind {
  BAD_REQUEST(400, false, Execution.NOT_RUN, "the request is malformed"),
  KEY_IN_REQUEST(400, false, Execution.NOT_RUN, "the key also stands in the path or body"),
  KEY_MISSING(401, false, Execution.NOT_RUN, "the service needs a key"),
  KEY_UNKNOWN(401, false, Execution.NOT_RUN, "the key is unknown or withdrawn"),
  FORBIDDEN(403, false, Execution.NOT_RUN, "the organisation may not use this service"),
  NOT_FOUND(404, false, Execution.NOT_RUN, "no such service, job or path"),
  SLOW_BODY(408, false, Execution.NOT_RUN, "the request body did not arrive in time"),
  RUN_CLAIMED(
      409, false, Execution.MAYBE_RUN, "a request with this idempotency key was already taken on"),
  REVISION_CONFLICT(409, false, Execution.NOT_RUN, "another declaration was accepted first"),
  BODY_TOO_LARGE(413, false, Execution.NOT_RUN, "the request body is too large"),
  INVALID_DECLARATION(422, false, Execution.NOT_RUN, "the declaration has mistakes"),
  QUARANTINED(422, false, Execution.MAYBE_RUN, "the request crashed the upstreams that ran it"),
  OVERLOADED(429, true, Execution.NOT_RUN, "the queue of the service is full"),
  INTERNAL(500, false, Execution.MAYBE_RUN, "an unexpected fault of the service"),
  UPSTREAM_LOST(
      502, true, Execution.MAYBE_RUN, "the upstream was lost before its answer was whole"),
  NO_UPSTREAM(503, true, Execution.NOT_RUN, "no upstream can take the request"),
  EVACUATED(503, true, Execution.NOT_RUN, "all zones with upstreams of the service are evacuated"),
  REGION_UNAVAILABLE(
      503, true, Execution.NOT_RUN, "no upstream in a region where the request may run"),
  DRAINING(503, true, Execution.NOT_RUN, "this instance is stopping"),
  KNOWLEDGE_STALE(503, true, Execution.NOT_RUN, "this instance may have missed changes"),
  NOT_CONFIGURED(503, true, Execution.NOT_RUN, "this instance has no configuration yet"),
  CLAIM_UNAVAILABLE(503, true, Execution.NOT_RUN, "no peer could confirm that the request is new"),
  STORE_REFUSED(503, true, Execution.NOT_RUN, "the store took nothing"),
  STORE_SILENT(504, true, Execution.MAYBE_RUN, "the store has not answered"),
  LOG_UNAVAILABLE(503, true, Execution.MAYBE_RUN, "the log did not confirm the record"),
  DEADLINE_EXPIRED(504, true, Execution.NOT_RUN, "the deadline passed before an upstream was free"),
  UPSTREAM_SILENT(504, true, Execution.MAYBE_RUN, "the upstream made no progress in time");

  /** Whether a request that ended in an error may have been executed. */
  public enum Execution {
    NOT_RUN("not-run"),
    MAYBE_RUN("maybe-run");

    private final String label;

    Execution(String label) {
      this.label = label;
    }

    /** Returns the label of this value in responses to callers. */
    public String label() {
      return label;
    }
  }

  private final int status;
  private final boolean retryable;
  private final Execution execution;
  private final String summary;

  ErrorKind(int status, boolean retryable, Execution run, String summary) {
    this.status = status;
    this.retryable = retryable;
    this.execution = run;
    this.summary = summary;
  }

  /** Returns the stable code of this kind, as used in responses and logs. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the HTTP status of the answer. */
  public int status() {
    return status;
  }

  /** Returns whether a retry of the same request may succeed. */
  public boolean retryable() {
    return retryable;
  }

  /** Returns whether the request may have been executed. */
  public Execution execution() {
    return execution;
  }

  /** Returns a description for human readers. */
  public String summary() {
    return summary;
  }
}
