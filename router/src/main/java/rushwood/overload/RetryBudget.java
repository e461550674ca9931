package rushwood.overload;

import rushwood.api.Times;

/**
 * Limits costly retries, that is retries after an attempt that cost its host work. A token bucket:
 * each costly retry takes a token, each other attempt adds a fraction of one, and a fixed number of
 * tokens is added per second. Other attempts are first attempts and retries after an attempt that
 * cost no work.
 *
 * <p>The budget is always kept up to date, but is enforced only under overload ({@link
 * OverloadStatistics#isRetryAllowed}). Times are clock times in nanoseconds.
 */
final class RetryBudget {
  // Allows a burst of retries, because the failure of a host breaks many attempts at once.
  private static final double BURST_SECONDS = 2;
  private static final double MIN_BURST_TOKENS = 10;
  private static final double NANOS_PER_SECOND = 1e9;

  private final double tokensPerUnlimitedAttempt;
  private final double tokensPerSecond;
  private final double maxTokens;
  private double tokens;
  private long refilledAt = Times.LONG_AGO;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerUnlimitedAttempt the fraction of a token that each attempt other than a costly
   *     retry adds
   * @param tokensPerSecond the tokens that are added per second in any case
   */
  RetryBudget(double tokensPerUnlimitedAttempt, double tokensPerSecond) {
    this.tokensPerUnlimitedAttempt = tokensPerUnlimitedAttempt;
    this.tokensPerSecond = tokensPerSecond;
    maxTokens = Math.max(MIN_BURST_TOKENS, tokensPerSecond * BURST_SECONDS);
    tokens = maxTokens;
  }

  /** Records an attempt that is not a costly retry. */
  void recordUnlimitedAttempt(long now) {
    refill(now);
    tokens = Math.min(maxTokens, tokens + tokensPerUnlimitedAttempt);
  }

  /** Records a costly retry, whether the budget allowed it or not. */
  void recordRetry(long now) {
    refill(now);
    tokens = Math.max(0, tokens - 1);
  }

  /** Returns whether there is a token for a costly retry; {@link #recordRetry} takes it. */
  boolean isRetryAllowed(long now) {
    refill(now);
    return tokens >= 1;
  }

  private void refill(long now) {
    if (refilledAt != Times.LONG_AGO && now > refilledAt) {
      tokens =
          Math.min(maxTokens, tokens + tokensPerSecond * (now - refilledAt) / NANOS_PER_SECOND);
    }
    refilledAt = Math.max(refilledAt, now);
  }
}
