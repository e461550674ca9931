package rushwood.overload;

/**
 * How many requests of a group ended without an answer and were not repeated yet: the number of
 * repeats that can be expected. It decays, as some clients never come back.
 */
final class UnansweredRequests {
  // What is left after a tick: half in 1.4 s, by when most clients that come back have done so.
  private static final double DECAY_PER_TICK = 0.95;

  private double count;

  void add() {
    count++;
  }

  /** Takes one, and returns whether there was one. */
  boolean take() {
    if (count < 1) {
      return false;
    }
    count--;
    return true;
  }

  /** Ends a tick of {@link OverloadDetector#TICK_NANOS}. */
  void tick() {
    count *= DECAY_PER_TICK;
  }
}
