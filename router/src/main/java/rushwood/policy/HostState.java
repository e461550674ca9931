package rushwood.policy;

import rushwood.api.Endpoint;
import rushwood.api.HostId;

/** What a router knows of a host. Times are {@link #NEVER} where nothing has happened yet. */
final class HostState {
  /** Earlier than any clock time, and far enough from the end that sums with it do not overflow. */
  static final long NEVER = Long.MIN_VALUE / 2;

  final HostId id;

  /** As last listed. */
  Endpoint endpoint;

  /** The group that it serves; null while it is draining or removed. */
  GroupState group;

  final HostHealth health = new HostHealth();
  final ReplicationState replication = new ReplicationState();
  final SlowStartState slowStart = new SlowStartState();
  final InFlightAttempts inFlight = new InFlightAttempts();

  private final double initialLimit;

  /** How many attempts may be in flight; below 1, a single slot that pauses between attempts. */
  double concurrencyLimit;

  /** The smoothed share of their objective time that its answers take. */
  final ExponentialAverage latencyRatio = new ExponentialAverage(0);

  /** Until then it gets no attempts, as a clock time. */
  long pausedUntil = NEVER;

  HostState(HostId id, double initialLimit) {
    this.id = id;
    this.initialLimit = initialLimit;
    concurrencyLimit = initialLimit;
  }

  boolean isHealthy() {
    return health.status == HostHealth.Status.HEALTHY;
  }

  boolean isUnreachable() {
    return health.status == HostHealth.Status.UNREACHABLE;
  }

  boolean isUnresponsive() {
    return health.status == HostHealth.Status.UNRESPONSIVE;
  }

  /** Whether it serves a group: it is listed as ready. */
  boolean hasGroup() {
    return group != null;
  }

  /** Whether it is the known primary of the group that it serves. */
  boolean isPrimary() {
    return group.primary == this;
  }

  void leaveGroup() {
    if (hasGroup()) {
      group.remove(this);
      group = null;
    }
  }

  /** Whether the host is up although that attempt failed: the connection was at fault. */
  boolean hasAnsweredSince(Attempt attempt) {
    return health.lastAnswerAt > attempt.sentAt;
  }

  /**
   * Its process has started anew: what was learned of the old one's capacity and health is void.
   */
  void reset(long processStartedAt) {
    slowStart.startedAt = processStartedAt;
    concurrencyLimit = initialLimit;
    latencyRatio.reset(0);
    pausedUntil = NEVER;
    health.restore();
  }

  /** Attempts in flight that are not presumed lost. */
  int occupiedSlots() {
    return inFlight.occupiedSlots();
  }

  /** Occupied slots for its weight. */
  double load() {
    return occupiedSlots() / endpoint.weight();
  }
}
