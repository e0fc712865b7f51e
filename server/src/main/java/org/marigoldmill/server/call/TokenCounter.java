package org.marigoldmill.server.call;

import static java.nio.charset.StandardCharsets.US_ASCII;

/** Counts the tokens in a stream of server-sent events without buffering the stream. */
final class TokenCounter {
  private static final byte[] TOKEN_KEY = "\"token\":".getBytes(US_ASCII);

  private int matched;
  private long tokens;

  void count(byte[] buffer, int length) {
    for (int i = 0; i < length; i++) {
      if (buffer[i] == TOKEN_KEY[matched]) {
        matched++;
      } else {
        matched = buffer[i] == TOKEN_KEY[0] ? 1 : 0;
      }
      if (matched == TOKEN_KEY.length) {
        tokens++;
        matched = 0;
      }
    }
  }

  long tokens() {
    return tokens;
  }
}
