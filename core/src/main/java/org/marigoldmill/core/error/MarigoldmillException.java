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
   * Creates an exception of a kind.
   *
   * @param kind entry of the closed list
   * @param detail what was expected and what was found
   * @return the exception to throw
   */
  public static MarigoldmillException of(ErrorKind kind, String detail) {
    return new MarigoldmillException(requireNonNull(kind, "kind"), detail, null);
  }

  /** Creates an exception of a kind with its cause. */
  public static MarigoldmillException of(ErrorKind kind, String detail, Throwable cause) {
    return new MarigoldmillException(requireNonNull(kind, "kind"), detail, cause);
  }

  /** Returns the kind. */
  public ErrorKind kind() {
    return kind;
  }
}
