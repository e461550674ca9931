package rushwood.overload;

import rushwood.api.Times;

/**
 * Limits retries that cost their host work to a share of all other attempts and a number a second
 * that is always allowed: a token bucket in which each other attempt puts a part of a token and
 * each such retry takes one. The others are first attempts and retries that cost no work. It is
 * kept up to date always and asked only under overload ({@link OverloadStatistics#isRetryAllowed}).
 * Times are clock times in nanoseconds.
 */
final class RetryBudget {
  // The failure of a host breaks many attempts at once.
  private static final double BURST_SECONDS = 2;
  private static final double MIN_BURST_TOKENS = 10;
  private static final double NANOS_PER_SECOND = 1e9;

  private final double tokensPerFirstAttempt;
  private final double tokensPerSecond;
  private final double maxTokens;
  private double tokens;
  private long refilledAt = Times.LONG_AGO;

  /** Creates a full bucket. */
  RetryBudget(double tokensPerFirstAttempt, double tokensPerSecond) {
    this.tokensPerFirstAttempt = tokensPerFirstAttempt;
    this.tokensPerSecond = tokensPerSecond;
    maxTokens = Math.max(MIN_BURST_TOKENS, tokensPerSecond * BURST_SECONDS);
    tokens = maxTokens;
  }

  /** A first attempt, or a retry that cost no host work, was sent. */
  void recordUnlimitedAttempt(long now) {
    refill(now);
    tokens = Math.min(maxTokens, tokens + tokensPerFirstAttempt);
  }

  /** A retry that costs its host work was sent, whether it was allowed or not. */
  void recordRetry(long now) {
    refill(now);
    tokens = Math.max(0, tokens - 1);
  }

  /** Whether there is a token for a retry; takes none. */
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
