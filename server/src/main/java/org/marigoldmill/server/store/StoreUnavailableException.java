package org.marigoldmill.server.store;

/** Thrown when the store gives no usable answer. */
public final class StoreUnavailableException extends RuntimeException {

  /** Creates an exception whose detail names the request and the failure. */
  public StoreUnavailableException(String detail, Throwable cause) {
    super(detail, cause);
  }

  /** Creates an exception whose detail names the request and the unexpected response. */
  public StoreUnavailableException(String detail) {
    super(detail);
  }
}
