package rushwood.policy;

import java.util.List;
import rushwood.api.RequestClass;

/**
 * Estimates the service time of each request class, in nanoseconds, as a moving average of the
 * durations of successful attempts.
 */
final class ServiceTimes {
  /** The initial estimate for a class, as a share of its latency objective. */
  private static final double INITIAL_SHARE = 0.25;

  /** The weight of one attempt; the average covers about the last fifty. */
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

  /** Returns the expected service time of a request, in nanoseconds. */
  double expectedNanos(PendingRequest pending) {
    return averages[pending.requestClass.index()].value();
  }

  /** Adds the duration of a successful attempt to the average of its request class. */
  void record(PendingRequest pending, long durationNanos) {
    averages[pending.requestClass.index()].add(durationNanos, SMOOTHING);
  }
}
