package rushwood.policy;

import rushwood.api.RoutingSettings;

/** Decides which waiting request gets a host's free slot. */
final class QueuePolicy {
  /**
   * The share of its latency objective after which a waiting read goes to any replica that can
   * answer, or to the primary, whose slots may be idle. The cost: they are missing to new writes.
   */
  private static final double SELECTIVE_WAIT_SHARE = 0.25;

  private static final double IN_TIME_MULTIPLE = 3; // expected service times: 19 in 20 answers
  private static final long LATE_PRIORITY = Long.MAX_VALUE - 1; // behind all that are in time

  private final boolean areSlotsShared;
  private final ServiceTimes serviceTimes;
  private final FreshnessPolicy freshness;
  private final PrimaryTracker primaries;
  private final ReplicaSelector replicas;
  private final ConcurrencyLimiter limiter;

  QueuePolicy(
      RoutingSettings settings,
      ServiceTimes serviceTimes,
      FreshnessPolicy freshness,
      PrimaryTracker primaries,
      ReplicaSelector replicas,
      ConcurrencyLimiter limiter) {
    areSlotsShared = ConcurrencyLimiter.areSlotsShared(settings);
    this.serviceTimes = serviceTimes;
    this.freshness = freshness;
    this.primaries = primaries;
    this.replicas = replicas;
    this.limiter = limiter;
  }

  /** Returns the request of that queue that the host gets next, or null. */
  PendingRequest next(WaitQueue queue, HostState host, long now) {
    if (queue.isEmpty() || !limiter.canTakeAny(host, now)) {
      return null;
    }
    return queue.findFirst(each -> priority(each, now), each -> accepts(each, host, now));
  }

  private boolean accepts(PendingRequest pending, HostState host, long now) {
    // Other routers may have better requests for a shared slot: slow hosts get no late ones.
    if (areSlotsShared && isLate(pending, now) && ConcurrencyLimiter.isSlow(host)) {
      return false;
    }
    if (pending.isWrite()) {
      return primaries.acceptsWrite(pending, host, now);
    }
    freshness.updateRequiredPosition(pending, now);
    double selectiveWait = pending.requestClass.latencyObjectiveNanos() * SELECTIVE_WAIT_SHARE;
    boolean canFallBack = now - pending.arrivedAt > selectiveWait;
    return replicas.acceptsRead(pending, host, canFallBack, now);
  }

  /**
   * The order of waiting requests, smallest first: those that can still be answered in time by
   * deadline; then the late ones, the newest first, so that scarce slots do not go to those that
   * are about to time out. Clients that kept to a Retry-After precede what arrived meanwhile.
   */
  private long priority(PendingRequest pending, long now) {
    long deadline = pending.objectiveDeadline;
    long order = isLate(pending, now) ? LATE_PRIORITY - deadline : deadline;
    return order - pending.request.waitedNanos();
  }

  /** Whether an answer within the latency objective has become unlikely. */
  private boolean isLate(PendingRequest pending, long now) {
    double expected = serviceTimes.expected(pending);
    return now + expected * IN_TIME_MULTIPLE > pending.objectiveDeadline;
  }
}
