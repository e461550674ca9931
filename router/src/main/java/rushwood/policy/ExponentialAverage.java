package rushwood.policy;

/** An exponentially weighted moving average. */
final class ExponentialAverage {
  private double value;

  ExponentialAverage(double initialValue) {
    value = initialValue;
  }

  double value() {
    return value;
  }

  /** Moves the average by {@code weight} (0 to 1) of the way to the sample. */
  void add(double sample, double weight) {
    value += (sample - value) * weight;
  }

  void reset(double newValue) {
    value = newValue;
  }
}
