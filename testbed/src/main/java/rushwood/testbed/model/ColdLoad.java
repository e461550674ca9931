package rushwood.testbed.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The work that comes to a host while it warms up, compared with what it bears: within a window of
 * time, a multiple of what its slots do in that window at its present speed.
 */
final class ColdLoad {
  private record Work(long at, long durationNanos) {}

  private final HostModel.Parameters parameters;
  private final Deque<Work> recentWork = new ArrayDeque<>();
  private double recentWorkNanos;
  private double worstOverload;

  ColdLoad(HostModel.Parameters parameters) {
    this.parameters = parameters;
  }

  /**
   * Adds work that has come, as the time that it takes at the host's warm speed.
   *
   * @param relativeSpeed the host's present speed as a share of its warm speed
   * @return whether the host has now got more than it bears
   */
  boolean add(long now, long durationNanos, double relativeSpeed) {
    recentWork.add(new Work(now, durationNanos));
    recentWorkNanos += durationNanos;
    while (recentWork.element().at() <= now - parameters.overloadWindowNanos()) {
      recentWorkNanos -= recentWork.remove().durationNanos();
    }
    double bearableNanos =
        parameters.overloadMultiple()
            * relativeSpeed
            * parameters.slots()
            * parameters.overloadWindowNanos();
    worstOverload = Math.max(worstOverload, recentWorkNanos / bearableNanos);
    return recentWorkNanos > bearableNanos;
  }

  /** Forgets the work of an earlier process; the worst overload stays. */
  void restart() {
    recentWork.clear();
    recentWorkNanos = 0;
  }

  /** The most work within a window so far, as a share of what the host bore then. */
  double worstOverload() {
    return worstOverload;
  }
}
