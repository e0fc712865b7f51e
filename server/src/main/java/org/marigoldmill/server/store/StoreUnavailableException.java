package org.marigoldmill.server.store;

/** The store gave no usable answer. */
public final class StoreUnavailableException extends RuntimeException {

  /** Creates a failure with what was asked and what came back. */
  public StoreUnavailableException(String detail, Throwable cause) {
    super(detail, cause);
  }

  /** Creates a failure with what was asked and what came back. */
  public StoreUnavailableException(String detail) {
    super(detail);
  }
}
