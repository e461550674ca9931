package rushwood.testbed.model;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.SplittableRandom;

/** How a client retries after a try that was rejected or failed; in files as {@code manners}. */
public enum RetryBehavior {
  /** Waits as long as Retry-After says; without one, for a jittered exponential backoff. */
  @JsonProperty("polite")
  HONORS_RETRY_AFTER,
  /**
   * Exponential backoff without jitter, whatever Retry-After says: clients that start together come
   * back together.
   */
  @JsonProperty("one_clock")
  SYNCHRONIZED_BACKOFF,
  /** At once, whatever Retry-After says. */
  @JsonProperty("rude")
  IMMEDIATE;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long FIRST_BACKOFF = 50 * NANOS_PER_MILLI; // common in client libraries
  private static final long MAX_BACKOFF = 2000 * NANOS_PER_MILLI;
  private static final int MAX_DOUBLINGS = 10; // keeps the shift from overflowing
  private static final long IMMEDIATE_DELAY = 5 * NANOS_PER_MILLI; // a loop with a round trip in it

  /**
   * Nanoseconds until the next try.
   *
   * @param triesMade how many tries there have been, at least 1
   * @param retryAfter the wait that the rejection asked for in nanoseconds, 0 for none
   */
  public long retryDelay(int triesMade, long retryAfter, SplittableRandom random) {
    long backoff = Math.min(MAX_BACKOFF, FIRST_BACKOFF << Math.min(MAX_DOUBLINGS, triesMade - 1));
    return switch (this) {
      case HONORS_RETRY_AFTER ->
          retryAfter > 0 ? retryAfter : backoff / 2 + random.nextLong(backoff);
      case SYNCHRONIZED_BACKOFF -> backoff;
      case IMMEDIATE -> IMMEDIATE_DELAY;
    };
  }
}
