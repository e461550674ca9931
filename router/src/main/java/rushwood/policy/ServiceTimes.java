package rushwood.policy;

import java.util.List;
import rushwood.api.RequestClass;

/** The expected service time of each request class: a moving average over successful attempts. */
final class ServiceTimes {
  private final ExponentialAverage[] averages;
  private final double smoothing;

  /**
   * Creates the estimates.
   *
   * @param initialShare the first estimate, as a share of the class's latency objective
   * @param smoothing the weight of one measurement
   */
  ServiceTimes(List<RequestClass> requestClasses, double initialShare, double smoothing) {
    this.smoothing = smoothing;
    averages =
        requestClasses.stream()
            .map(each -> new ExponentialAverage(each.latencyObjectiveNanos() * initialShare))
            .toArray(ExponentialAverage[]::new);
  }

  /** The expected service time of a request, in nanoseconds. */
  double expected(PendingRequest pending) {
    return averages[pending.requestClass.index()].value();
  }

  void record(PendingRequest pending, long durationNanos) {
    averages[pending.requestClass.index()].add(durationNanos, smoothing);
  }
}
