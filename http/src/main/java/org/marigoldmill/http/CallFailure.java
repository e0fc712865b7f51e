package org.marigoldmill.http;

/** A call that did not bring a whole answer. */
public final class CallFailure extends RuntimeException {

  /** What the caller knows of the execution. */
  public enum Sent {
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

  private final Sent sent;
  private final Reason reason;

  /** Creates a failure. */
  public CallFailure(Sent sent, Reason reason, String detail, Throwable cause) {
    super(reason + " (" + sent + "): " + detail, cause);
    this.sent = sent;
    this.reason = reason;
  }

  /** Returns what is known of the execution. */
  public Sent sent() {
    return sent;
  }

  /** Returns how the call failed. */
  public Reason reason() {
    return reason;
  }

  /** Returns whether the connection ended while the receiver may have run the request. */
  public boolean cutInMidRequest() {
    return reason == Reason.CUT && sent == Sent.MAYBE_RUN;
  }
}
