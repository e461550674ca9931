package rushwood.dispatch;

/**
 * Tracks the maximum of recorded values, each of which decays exponentially from the time of its
 * recording. Times are clock times in nanoseconds.
 */
final class DecayingMaximum {
  private final double halfLifeNanos;
  private long value;
  private long recordedAt;

  /**
   * Creates a maximum without any recorded value.
   *
   * @param halfLifeNanos the time in which a value decays to its half
   */
  DecayingMaximum(long halfLifeNanos) {
    this.halfLifeNanos = halfLifeNanos;
  }

  /**
   * Records a value.
   *
   * @param newValue the value, not negative
   * @param now the current time; must not go back between calls
   */
  void record(long newValue, long now) {
    if (newValue >= at(now)) {
      value = newValue;
      recordedAt = now;
    }
  }

  /** Returns the decayed maximum at the given time; 0 if nothing was recorded. */
  long at(long now) {
    if (value == 0) {
      return 0;
    }
    return (long) (value * Math.pow(0.5, (now - recordedAt) / halfLifeNanos));
  }
}
