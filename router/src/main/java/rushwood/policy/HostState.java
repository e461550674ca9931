package rushwood.policy;

import rushwood.api.Endpoint;
import rushwood.api.HostId;

/** What a router knows of a host. Times are {@link #NEVER} where nothing has happened yet. */
final class HostState {
  enum Health {
    HEALTHY,
    /** Connections to it fail or break. */
    UNREACHABLE,
    /** It accepts attempts and answers none. */
    UNRESPONSIVE
  }

  /** Earlier than any clock time, and far enough from the end that sums with it do not overflow. */
  static final long NEVER = Long.MIN_VALUE / 2;

  final HostId id;

  /** As last listed. */
  Endpoint endpoint;

  /** The group that it serves; null while it is draining or removed. */
  GroupState group;

  final InFlightAttempts inFlight = new InFlightAttempts();

  private final double initialLimit;

  /** How many attempts may be in flight; below 1, a single slot that pauses between attempts. */
  double concurrencyLimit;

  /** The share of their objective time that its answers take. */
  final ExponentialAverage latencyRatio = new ExponentialAverage(0);

  long pausedUntil = NEVER;

  Health health = Health.HEALTHY;
  long ejectedAt;
  long nextTrialAt;
  long lastAnswerAt = NEVER;
  boolean probeInFlight;

  /** When its process started; 0 for longer ago than slow start lasts. */
  long startedAt;

  /** Expected service time in nanoseconds that may still be sent to it during slow start. */
  final TokenBucket slowStartTokens = new TokenBucket();

  /** Expected service time that it completes a nanosecond. */
  final ExponentialAverage completedWorkRate = new ExponentialAverage(0);

  /** Expected service time completed since the rate was last updated. */
  double completedWork;

  /** How far it has applied the log, as a time. */
  long position = NEVER;

  long positionHeardAt = NEVER;

  /** When it last refused a read because it was too far behind. */
  long laggingAt = NEVER;

  /** The time of the latest evidence of its role. */
  long roleKnownAt = NEVER;

  long writeRefusedAt = NEVER;

  HostState(HostId id, double initialLimit) {
    this.id = id;
    this.initialLimit = initialLimit;
    concurrencyLimit = initialLimit;
  }

  boolean isHealthy() {
    return health == Health.HEALTHY;
  }

  boolean isUnreachable() {
    return health == Health.UNREACHABLE;
  }

  boolean isUnresponsive() {
    return health == Health.UNRESPONSIVE;
  }

  /** Whether it is the known primary of the group that it serves. */
  boolean isPrimary() {
    return group.primary == this;
  }

  void leaveGroup() {
    if (group != null) {
      group.remove(this);
      group = null;
    }
  }

  /** Whether the host is up although that attempt failed: the connection was at fault. */
  boolean hasAnsweredSince(Attempt attempt) {
    return lastAnswerAt > attempt.sentAt;
  }

  /**
   * Its process has started anew: what was learned of the old one's capacity and health is void.
   */
  void reset(long time) {
    startedAt = time;
    concurrencyLimit = initialLimit;
    latencyRatio.reset(0);
    pausedUntil = NEVER;
    health = Health.HEALTHY;
  }

  /** Takes in a reported position. Positions never go back; one in the future cannot be true. */
  void recordPosition(long reported, long now) {
    if (reported <= now) {
      position = Math.max(position, reported);
      positionHeardAt = now;
    }
  }

  /** Occupied slots for its weight. */
  double load() {
    return inFlight.occupiedSlots() / endpoint.weight();
  }
}
