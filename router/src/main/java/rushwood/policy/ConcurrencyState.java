package rushwood.policy;

import rushwood.api.Times;

/**
 * The concurrency limit of a host, the latency of its answers and its current pause, which {@link
 * ConcurrencyLimiter} determines.
 */
final class ConcurrencyState {
  private final double initialLimit;
  private final ExponentialAverage latencyRatio = new ExponentialAverage(0);
  private double limit;
  private long pausedUntil = Times.LONG_AGO;

  /** Creates the state of a host from which no answer is known yet. */
  ConcurrencyState(double initialLimit) {
    this.initialLimit = initialLimit;
    limit = initialLimit;
  }

  /**
   * Returns how many attempts may be in flight; below 1, a single slot that pauses between
   * attempts.
   */
  double limit() {
    return limit;
  }

  void adjustLimit(double newLimit) {
    limit = newLimit;
  }

  /**
   * Returns the share of the latency objective that answers of the host take, as a moving average;
   * see {@link PendingRequest#objectiveNanos}.
   */
  double latencyRatio() {
    return latencyRatio.value();
  }

  void recordLatencyRatio(double ratio, double weight) {
    latencyRatio.add(ratio, weight);
  }

  /**
   * Returns the end of the last pause as a clock time in nanoseconds; {@link Times#LONG_AGO} if
   * there was none.
   */
  long pausedUntil() {
    return pausedUntil;
  }

  boolean isPaused(long now) {
    return now < pausedUntil;
  }

  void pauseUntil(long time) {
    pausedUntil = time;
  }

  /** Discards what was learned, after the process of the host has restarted. */
  void reset() {
    limit = initialLimit;
    latencyRatio.reset(0);
    pausedUntil = Times.LONG_AGO;
  }
}
