package rushwood.testbed.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures the work that arrives at a host during its warm-up over a sliding window, and compares
 * it with the host's limit: {@link HostModel.Parameters#overloadMultiple()} times the work that its
 * slots complete in a window at its present speed.
 */
final class WarmupLoad {
  private record Work(long arrivedAt, long durationNanos) {}

  private final HostModel.Parameters parameters;
  private final Deque<Work> recentWork = new ArrayDeque<>();
  private double recentWorkNanos;
  private double worstOverload;

  WarmupLoad(HostModel.Parameters parameters) {
    this.parameters = parameters;
  }

  /**
   * Adds the work of a request that arrives now.
   *
   * @param now the time in nanoseconds
   * @param durationNanos how long the request takes at the host's warm speed
   * @param relativeSpeed the host's present speed as a share of its warm speed
   * @return whether the work in the window exceeds the host's limit
   */
  boolean add(long now, long durationNanos, double relativeSpeed) {
    recentWork.add(new Work(now, durationNanos));
    recentWorkNanos += durationNanos;
    while (recentWork.element().arrivedAt() <= now - parameters.overloadWindowNanos()) {
      recentWorkNanos -= recentWork.remove().durationNanos();
    }
    double limitNanos =
        parameters.overloadMultiple()
            * relativeSpeed
            * parameters.slots()
            * parameters.overloadWindowNanos();
    worstOverload = Math.max(worstOverload, recentWorkNanos / limitNanos);
    return recentWorkNanos > limitNanos;
  }

  /** Discards the work that an earlier process of the host received; keeps the worst overload. */
  void restart() {
    recentWork.clear();
    recentWorkNanos = 0;
  }

  /**
   * Returns the most work within any window so far, as a share of the host's limit at that time; 0
   * if no work was added.
   */
  double worstOverload() {
    return worstOverload;
  }
}
