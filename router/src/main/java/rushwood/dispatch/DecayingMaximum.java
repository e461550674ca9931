package rushwood.dispatch;

/**
 * The largest of the values recorded, where each loses half of its weight in every half-life. Times
 * are clock times in nanoseconds.
 */
final class DecayingMaximum {
  private final double halfLifeNanos;
  private long value;
  private long recordedAt;

  /** Creates it with nothing recorded. */
  DecayingMaximum(long halfLifeNanos) {
    this.halfLifeNanos = halfLifeNanos;
  }

  /** Records a value that is not negative; the time must not be before that of an earlier one. */
  void record(long newValue, long now) {
    if (newValue >= at(now)) {
      value = newValue;
      recordedAt = now;
    }
  }

  /** The maximum at that time, 0 if nothing was recorded. */
  long at(long now) {
    if (value == 0) {
      return 0;
    }
    return (long) (value * Math.pow(0.5, (now - recordedAt) / halfLifeNanos));
  }
}
