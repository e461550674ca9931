package rushwood.policy;

/**
 * A token bucket. Its owner determines the rate and the capacity, which may change between refills.
 */
final class TokenBucket {
  private double tokens;
  private long refilledAt;

  /** Returns when the bucket was last reset or refilled over time; 0 if never. */
  long refilledAt() {
    return refilledAt;
  }

  void reset(double newTokens, long now) {
    tokens = newTokens;
    refilledAt = now;
  }

  /**
   * Adds the tokens that have accrued since the last refill, at {@code rate} tokens per nanosecond.
   */
  void refill(double rate, double capacity, long now) {
    add(rate * (now - refilledAt), capacity);
    refilledAt = now;
  }

  void add(double amount, double capacity) {
    tokens = Math.min(capacity, tokens + amount);
  }

  boolean has(double amount) {
    return tokens >= amount;
  }

  /** Takes tokens. The balance may become negative; later refills make up for it. */
  void take(double amount) {
    tokens -= amount;
  }
}
