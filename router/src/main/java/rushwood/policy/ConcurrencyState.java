package rushwood.policy;

import rushwood.api.Times;

/**
 * What the {@link ConcurrencyLimiter}, its only writer, knows of a host: how many attempts may be
 * in flight there, how slow its answers are, and until when it gets nothing.
 */
final class ConcurrencyState {
  private final double initialLimit;
  private final ExponentialAverage latencyRatio = new ExponentialAverage(0);
  private double limit;
  private long pausedUntil = Times.LONG_AGO;

  /** Creates the state of a host whose answers are not known yet. */
  ConcurrencyState(double initialLimit) {
    this.initialLimit = initialLimit;
    limit = initialLimit;
  }

  /** How many attempts may be in flight; below 1, a single slot that pauses between attempts. */
  double limit() {
    return limit;
  }

  void adjustLimit(double newLimit) {
    limit = newLimit;
  }

  /** The share of their requests' objective time that the host's answers take, smoothed. */
  double latencyRatio() {
    return latencyRatio.value();
  }

  void recordLatencyRatio(double ratio, double weight) {
    latencyRatio.add(ratio, weight);
  }

  /** The end of the last pause, as a clock time; {@link Times#LONG_AGO} if there was none. */
  long pausedUntil() {
    return pausedUntil;
  }

  boolean isPaused(long now) {
    return now < pausedUntil;
  }

  void pauseUntil(long time) {
    pausedUntil = time;
  }

  /** The host's process has started anew: what was learned of the old one is void. */
  void reset() {
    limit = initialLimit;
    latencyRatio.reset(0);
    pausedUntil = Times.LONG_AGO;
  }
}
