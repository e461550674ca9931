package rushwood.testbed.model;

import java.util.SplittableRandom;

/** How a client comes back after a try that brought nothing. */
public enum RetryBehavior {
  /** Waits as told, else a jittered, doubling pause. */
  POLITE,
  /**
   * A doubling pause without jitter, whatever it is told: all that start together come back
   * together.
   */
  ONE_CLOCK,
  /** At once, whatever it is told. */
  RUDE;

  private static final long MS = 1_000_000L;
  private static final long FIRST_BACKOFF =
      50 * MS; // of the doubling pause: what client libraries do when told nothing
  private static final long MAX_BACKOFF = 2000 * MS;
  private static final long IMMEDIATE_DELAY =
      5 * MS; // a rude one is a loop with a round trip in it

  /**
   * Nanoseconds until the next try; {@code told} is 0 if no wait was told, {@code tried} counts
   * from 1.
   */
  public long retryDelay(int triesMade, long retryAfter, SplittableRandom random) {
    long doubling = Math.min(MAX_BACKOFF, FIRST_BACKOFF << Math.min(10, triesMade - 1));
    return switch (this) {
      case POLITE -> retryAfter > 0 ? retryAfter : doubling / 2 + random.nextLong(doubling);
      case ONE_CLOCK -> doubling;
      case RUDE -> IMMEDIATE_DELAY;
    };
  }
}
