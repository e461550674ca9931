package rushwood.policy;

/** A token bucket; its owner decides rate and capacity, which may change between refills. */
final class TokenBucket {
  private double tokens;
  private long refilledAt;

  /** When the bucket was last filled by time; 0 if it never was. */
  long refilledAt() {
    return refilledAt;
  }

  void reset(double newTokens, long now) {
    tokens = newTokens;
    refilledAt = now;
  }

  /** Adds what has accrued since the last refill at {@code rate} tokens a nanosecond. */
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

  /** Takes tokens out; the bucket may go below zero, which later refills make up for. */
  void take(double amount) {
    tokens -= amount;
  }
}
