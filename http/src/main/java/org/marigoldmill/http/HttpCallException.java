package org.marigoldmill.http;

/** Thrown when a call did not return a complete response. */
public final class HttpCallException extends RuntimeException {

  /** What the caller knows about the execution of the request. */
  public enum Execution {
    /** No byte of the request left this process. */
    NOT_SENT,
    /** The receiver may have executed the request. */
    MAYBE_RUN
  }

  /** How the call failed. */
  public enum Reason {
    /** The connection was refused, or not established within the connect timeout. */
    CONNECT,
    /** The gate of the call threw an exception before the request was sent. */
    GATE,
    /** The connection was closed, by either side, before the response was complete. */
    CUT,
    /** The bytes that arrived are no valid response. */
    MALFORMED,
    /** The response is larger than this process accepts. */
    OVERSIZED,
    /** No byte arrived within the progress timeout or the total timeout, or bytes without use. */
    SILENT
  }

  private final Execution execution;
  private final Reason reason;

  /** Creates an exception with a detail such as the address and path of the call. */
  public HttpCallException(Execution execution, Reason reason, String detail, Throwable cause) {
    super(reason + " (" + execution + "): " + detail, cause);
    this.execution = execution;
    this.reason = reason;
  }

  /** Creates the exception of a stream whose sender sends bytes but completes no event. */
  public static HttpCallException stalled(String sender) {
    return new HttpCallException(
        Execution.MAYBE_RUN, Reason.SILENT, "stream without a complete event from " + sender, null);
  }

  /**
   * Creates the exception of a response that is larger than accepted.
   *
   * @param what part that is too large
   * @param maxBytes largest size accepted, in bytes
   */
  public static HttpCallException oversized(String what, long maxBytes, String sender) {
    return new HttpCallException(
        Execution.MAYBE_RUN,
        Reason.OVERSIZED,
        what + " from " + sender + " exceeds " + maxBytes + " bytes",
        null);
  }

  /**
   * Creates the exception of a response that is given up for the memory of others.
   *
   * @param what part that is too large
   */
  public static HttpCallException outOfMemory(String what, String sender) {
    return new HttpCallException(
        Execution.MAYBE_RUN,
        Reason.OVERSIZED,
        what + " from " + sender + " is the largest of more than this process can hold",
        null);
  }

  /** Returns whether the receiver may have executed the request. */
  public Execution execution() {
    return execution;
  }

  /** Returns how the call failed. */
  public Reason reason() {
    return reason;
  }

  /** Returns whether the connection was lost after the request may have been sent. */
  public boolean connectionLostMidRequest() {
    return reason == Reason.CUT && execution == Execution.MAYBE_RUN;
  }
}
