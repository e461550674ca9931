package rushwood.testbed.model;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.SplittableRandom;

/**
 * How long a client waits before it retries a try that was rejected or failed. Experiment files
 * call it {@code manners}.
 */
public enum RetryBehavior {
  /** Waits for the time in Retry-After; without one, backs off exponentially with jitter. */
  @JsonProperty("polite")
  HONORS_RETRY_AFTER,
  /**
   * Backs off exponentially without jitter and ignores Retry-After: clients that start together
   * retry together.
   */
  @JsonProperty("one_clock")
  SYNCHRONIZED_BACKOFF,
  /** Retries after a few milliseconds and ignores Retry-After. */
  @JsonProperty("rude")
  IMMEDIATE;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  // A common default of client libraries.
  private static final long INITIAL_BACKOFF_NANOS = 50 * NANOS_PER_MILLI;
  private static final long MAX_BACKOFF_NANOS = 2000 * NANOS_PER_MILLI;
  private static final int MAX_DOUBLINGS = 10; // keeps the shift from overflowing
  // A client that retries in a loop still spends a round trip on each try.
  private static final long IMMEDIATE_RETRY_DELAY_NANOS = 5 * NANOS_PER_MILLI;

  /**
   * Returns the delay until the next try, in nanoseconds.
   *
   * @param triesMade the number of tries so far, at least 1
   * @param retryAfterNanos the Retry-After of the rejection, 0 for none
   * @param random the source of the jitter
   */
  public long retryDelay(int triesMade, long retryAfterNanos, SplittableRandom random) {
    int doublings = Math.min(MAX_DOUBLINGS, triesMade - 1);
    long backoff = Math.min(MAX_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << doublings);
    return switch (this) {
      case HONORS_RETRY_AFTER ->
          retryAfterNanos > 0 ? retryAfterNanos : backoff / 2 + random.nextLong(backoff);
      case SYNCHRONIZED_BACKOFF -> backoff;
      case IMMEDIATE -> IMMEDIATE_RETRY_DELAY_NANOS;
    };
  }
}
