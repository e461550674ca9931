package rushwood.overload;

/**
 * How many further shots there may be: a share of the first ones, and a few a second whatever
 * comes.
 */
public final class RetryBudget {
  private final double tokensPerFirstAttempt;
  private final double tokensPerSecond;
  private final double maxTokens;
  private double tokens;
  private long refilledAt = Long.MIN_VALUE;

  /** With the share of first shots, and the floor a second. */
  public RetryBudget(double tokensPerFirstAttempt, double tokensPerSecond) {
    this.tokensPerFirstAttempt = tokensPerFirstAttempt;
    this.tokensPerSecond = tokensPerSecond;
    maxTokens =
        Math.max(
            10,
            tokensPerSecond
                * 2); // two seconds of the floor may be saved: a host's death breaks many at once
    tokens = maxTokens;
  }

  public void recordFirstAttempt(long now) {
    refill(now);
    tokens = Math.min(maxTokens, tokens + tokensPerFirstAttempt);
  }

  public void recordRetry(long now) {
    refill(now);
    tokens = Math.max(0, tokens - 1);
  }

  public boolean isRetryAllowed(long now) {
    refill(now);
    return tokens >= 1;
  }

  private void refill(long now) {
    if (refilledAt != Long.MIN_VALUE && now > refilledAt) {
      tokens = Math.min(maxTokens, tokens + tokensPerSecond * (now - refilledAt) / 1e9);
    }
    refilledAt = Math.max(refilledAt, now);
  }
}
