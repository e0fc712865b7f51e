package org.marigoldmill.server.call;

import static java.nio.charset.StandardCharsets.US_ASCII;

/** Counts the tokens in a stream of server-sent events without keeping the stream. */
final class TokenScanner {
  private static final byte[] MARK = "\"token\":".getBytes(US_ASCII);

  private int matched;
  private long tokens;

  void scan(byte[] chunk, int length) {
    for (int i = 0; i < length; i++) {
      if (chunk[i] == MARK[matched]) {
        matched++;
      } else {
        matched = chunk[i] == MARK[0] ? 1 : 0;
      }
      if (matched == MARK.length) {
        tokens++;
        matched = 0;
      }
    }
  }

  long tokens() {
    return tokens;
  }
}
