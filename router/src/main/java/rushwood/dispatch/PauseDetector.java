package rushwood.dispatch;

/**
 * Detects pauses of this process, for example by the operating system's scheduler or a suspended
 * machine, as long gaps between the starts of two turns of the event loop. Times are Unix times in
 * nanoseconds.
 */
final class PauseDetector {
  /** Turns are scheduled often enough that a longer gap between them is a pause, not idleness. */
  private static final long PAUSE_THRESHOLD_NANOS = 2 * EventLoopClock.MAX_TURN_INTERVAL_NANOS;

  private static final long PAUSE_HALF_LIFE_NANOS = 10_000_000_000L;

  /** Earlier than any time, even after a duration is added. */
  private static final long NO_PAUSE = Long.MIN_VALUE;

  private long pauseStart;
  private long pauseEnd = NO_PAUSE;
  private final DecayingMaximum longestPause = new DecayingMaximum(PAUSE_HALF_LIFE_NANOS);
  private long turnGapNanos;
  private long previousTurnGapNanos;

  /**
   * Records the start of a turn.
   *
   * @param previous the start of the previous turn
   * @param now the start of the new turn
   */
  void turnStarted(long previous, long now) {
    previousTurnGapNanos = turnGapNanos;
    turnGapNanos = now - previous;
    if (turnGapNanos > PAUSE_THRESHOLD_NANOS) {
      longestPause.record(turnGapNanos, now);
      pauseStart = previous;
      pauseEnd = now;
    }
  }

  /**
   * Returns whether the process was paused for longer than {@code nanos} within the current turn,
   * directly before it, or directly before the previous turn. Gaps of {@link
   * #PAUSE_THRESHOLD_NANOS} or less never count as pauses.
   *
   * @param turnNanos how long the current turn has lasted
   */
  boolean hasRecentPauseLongerThan(long nanos, long turnNanos) {
    long longest = Math.max(turnNanos, Math.max(turnGapNanos, previousTurnGapNanos));
    return longest > Math.max(PAUSE_THRESHOLD_NANOS, nanos);
  }

  /** Returns the longest pause, halved for every ten seconds since its end; 0 if there was none. */
  long recentLongestNanos(long now) {
    return longestPause.at(now);
  }

  /**
   * Returns the start of the last pause if it ended at most {@code maxAgeNanos} ago, else {@code
   * now}.
   */
  long startOfPauseEndedWithin(long maxAgeNanos, long now) {
    return now <= pauseEnd + maxAgeNanos ? pauseStart : now;
  }
}
