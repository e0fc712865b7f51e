package org.marigoldmill.http;

import java.io.IOException;

/** Thrown when received bytes are no valid response. */
final class MalformedResponseException extends IOException {
  private static final int MAX_QUOTED_CHARACTERS = 80;

  private final HttpCallException.Reason reason;

  private MalformedResponseException(HttpCallException.Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  /** Creates the exception of a part that breaks the syntax. */
  static MalformedResponseException shouldBe(String part, String expected, String actual) {
    String quoted = actual.substring(0, Math.min(actual.length(), MAX_QUOTED_CHARACTERS));
    return new MalformedResponseException(
        HttpCallException.Reason.MALFORMED, HttpSyntax.shouldBe(part, expected, quoted));
  }

  /** Creates the exception of a body whose length is given more than once. */
  static MalformedResponseException shouldHaveOneLength(String field) {
    return shouldBe("length of the body", "one field that gives it", "another: " + field);
  }

  /** Creates the exception of a part that is larger than accepted, in bytes. */
  static MalformedResponseException shouldNotExceed(String part, long maxBytes) {
    return new MalformedResponseException(
        HttpCallException.Reason.OVERSIZED, part + " exceeds " + maxBytes + " bytes");
  }

  /** Creates the exception of a head with more fields than accepted. */
  static MalformedResponseException shouldNotHaveMoreFieldsThan(int maxFields) {
    return new MalformedResponseException(
        HttpCallException.Reason.OVERSIZED, "head has more than " + maxFields + " fields");
  }

  /** Returns how the call failed. */
  HttpCallException.Reason reason() {
    return reason;
  }
}
