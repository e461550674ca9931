package rushwood.lab.model;

import java.util.SplittableRandom;

/** How a client comes back after a try that brought nothing. */
public enum Manners {
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
  private static final long FIRST =
      50 * MS; // of the doubling pause: what client libraries do when told nothing
  private static final long LONGEST = 2000 * MS;
  private static final long AT_ONCE = 5 * MS; // a rude one is a loop with a round trip in it

  /**
   * Nanoseconds until the next try; {@code told} is 0 if no wait was told, {@code tried} counts
   * from 1.
   */
  public long pause(int tried, long told, SplittableRandom chance) {
    long doubling = Math.min(LONGEST, FIRST << Math.min(10, tried - 1));
    return switch (this) {
      case POLITE -> told > 0 ? told : doubling / 2 + chance.nextLong(doubling);
      case ONE_CLOCK -> doubling;
      case RUDE -> AT_ONCE;
    };
  }
}
