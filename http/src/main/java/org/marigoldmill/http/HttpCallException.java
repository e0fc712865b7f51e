package org.marigoldmill.http;

/** A call that did not bring a whole answer. */
public final class HttpCallException extends RuntimeException {

  /** What the caller knows of the execution. */
  public enum Execution {
    /** No byte of the request left this process. */
    NOT_SENT,
    /** The receiver may have run the request. */
    MAYBE_RUN
  }

  /** How the call failed. */
  public enum Reason {
    CONNECT,
    GATE,
    CUT,
    SILENT
  }

  private final Execution execution;
  private final Reason reason;

  /** Creates a failure. */
  public HttpCallException(Execution sent, Reason reason, String detail, Throwable cause) {
    super(reason + " (" + sent + "): " + detail, cause);
    this.execution = sent;
    this.reason = reason;
  }

  /** Returns what is known of the execution. */
  public Execution execution() {
    return execution;
  }

  /** Returns how the call failed. */
  public Reason reason() {
    return reason;
  }

  /** Returns whether the connection ended while the receiver may have run the request. */
  public boolean connectionLostMidRequest() {
    return reason == Reason.CUT && execution == Execution.MAYBE_RUN;
  }
}
