package rushwood.dispatch;

/**
 * Finds the pauses of this process, for example by the scheduler or a suspended machine, as long
 * gaps between two turns of the event loop. Times are Unix times in nanoseconds.
 */
final class PauseDetector {
  /** Turns come often enough that a longer gap is a pause, not idleness. */
  private static final long PAUSE_THRESHOLD_NANOS = 2 * EventLoopClock.MAX_TURN_INTERVAL_NANOS;

  private static final long PAUSE_HALF_LIFE_NANOS = 10_000_000_000L;

  /** Earlier than any time, also with a delay added to it. */
  private static final long NO_PAUSE = Long.MIN_VALUE;

  private long pauseStart;
  private long pauseEnd = NO_PAUSE;
  private final DecayingMaximum longestPause = new DecayingMaximum(PAUSE_HALF_LIFE_NANOS);
  private long turnGap;
  private long previousTurnGap;

  /** A turn begins; the one before it began at {@code previous}. */
  void turnStarted(long previous, long now) {
    previousTurnGap = turnGap;
    turnGap = now - previous;
    if (turnGap > PAUSE_THRESHOLD_NANOS) {
      longestPause.record(turnGap, now);
      pauseStart = previous;
      pauseEnd = now;
    }
  }

  /**
   * Whether the process was paused for longer than {@code nanos} within this turn, or before this
   * turn or the one before it. Gaps up to the threshold of a pause never count.
   *
   * @param turnNanos how long this turn has lasted
   */
  boolean hasPausedInLastTurns(long nanos, long turnNanos) {
    long longest = Math.max(turnNanos, Math.max(turnGap, previousTurnGap));
    return longest > Math.max(PAUSE_THRESHOLD_NANOS, nanos);
  }

  /** The longest pause in nanoseconds, halved for each ten seconds since it ended; 0 for none. */
  long recentLongest(long now) {
    return longestPause.at(now);
  }

  /** The start of the last pause if it ended {@code nanos} ago or less, else {@code now}. */
  long startOfPauseWithin(long nanos, long now) {
    return now <= pauseEnd + nanos ? pauseStart : now;
  }
}
