package org.marigoldmill.core.limit;

/** Token bucket whose rate may change; a token permits one request, and may be taken ahead. */
final class TokenBucket {
  private double tokens;
  private double perSecond;
  private double capacity = 1;
  private long updatedAtMs;

  /**
   * Creates a bucket without a rate.
   *
   * @param tokens tokens at the start; below 1, so that the first request waits for the rate
   */
  TokenBucket(double tokens, long nowMs) {
    this.tokens = tokens;
    this.updatedAtMs = nowMs;
  }

  /**
   * Sets the tokens a second and the largest number of tokens that are saved; both hold from the
   * last request on, so that a request after a long pause finds what has been saved meanwhile.
   */
  void setRate(double tokensPerSecond, double maxTokens, long nowMs) {
    perSecond = tokensPerSecond;
    capacity = maxTokens;
    refill(nowMs);
  }

  /** Takes a token if there is one. */
  boolean tryTake(long nowMs) {
    refill(nowMs);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Takes a token that will be there after {@link #waitMs}. */
  void takeAhead(long nowMs) {
    refill(nowMs);
    tokens--;
  }

  /** Returns the time until there is a token, in milliseconds; very long without a rate. */
  long waitMs(long nowMs) {
    refill(nowMs);
    if (tokens >= 1) {
      return 0;
    }
    return perSecond <= 0
        ? Integer.MAX_VALUE
        : (long) Math.min(Integer.MAX_VALUE, Math.ceil(1e3 * (1 - tokens) / perSecond));
  }

  private void refill(long nowMs) {
    if (nowMs > updatedAtMs) {
      tokens = Math.min(capacity, tokens + perSecond * (nowMs - updatedAtMs) / 1e3);
      updatedAtMs = nowMs;
    }
  }
}
