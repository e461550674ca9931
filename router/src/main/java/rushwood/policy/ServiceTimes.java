package rushwood.policy;

import java.util.List;
import rushwood.api.RequestClass;

/**
 * Estimates the service time of each request class, in nanoseconds: a moving average over the
 * durations of successful attempts.
 */
final class ServiceTimes {
  /** The first estimate of a class, as a share of its latency objective. */
  private static final double INITIAL_SHARE = 0.25;

  /** The weight of one attempt: about the last fifty count. */
  private static final double SMOOTHING = 0.02;

  private final ExponentialAverage[] averages;

  ServiceTimes(List<RequestClass> requestClasses) {
    averages =
        requestClasses.stream()
            .map(
                requestClass ->
                    new ExponentialAverage(requestClass.latencyObjectiveNanos() * INITIAL_SHARE))
            .toArray(ExponentialAverage[]::new);
  }

  /** The expected service time of a request, in nanoseconds. */
  double expectedNanos(PendingRequest pending) {
    return averages[pending.requestClass.index()].value();
  }

  /** Takes in the duration of a successful attempt. */
  void record(PendingRequest pending, long durationNanos) {
    averages[pending.requestClass.index()].add(durationNanos, SMOOTHING);
  }
}
