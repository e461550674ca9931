package rushwood.overload;

/**
 * Counts the requests of a group that ended without an answer and have not been repeated yet, which
 * is the number of expected repeats. The count decays, because some clients never return.
 */
final class UnansweredRequests {
  // Halves the count in 1.4 s; most clients that return have done so by then.
  private static final double DECAY_PER_TICK = 0.95;

  private double count;

  void add() {
    count++;
  }

  /** Removes one request; returns whether there was one. */
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
