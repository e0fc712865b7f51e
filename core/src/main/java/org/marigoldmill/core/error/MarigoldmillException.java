package org.marigoldmill.core.error;

import static java.util.Objects.requireNonNull;

/** Unchecked exception that carries an {@link ErrorKind}. */
public final class MarigoldmillException extends RuntimeException {
  private final ErrorKind kind;

  private MarigoldmillException(ErrorKind kind, String detail, Throwable cause) {
    super(kind.code() + ": " + detail, cause);
    this.kind = kind;
  }

  /**
   * Creates an exception without a cause.
   *
   * @param kind error kind
   * @param detail expected and actual values
   * @return the exception to throw
   */
  public static MarigoldmillException of(ErrorKind kind, String detail) {
    return new MarigoldmillException(requireNonNull(kind, "kind"), detail, null);
  }

  /** Creates an exception with a cause. */
  public static MarigoldmillException of(ErrorKind kind, String detail, Throwable cause) {
    return new MarigoldmillException(requireNonNull(kind, "kind"), detail, cause);
  }

  /** Returns the error kind. */
  public ErrorKind kind() {
    return kind;
  }
}
