package rushwood.policy;

import org.jspecify.annotations.Nullable;
import rushwood.api.RoutingSettings;

/**
 * Decides which waiting request gets a host's free slot: of those that the host may serve, the
 * first in this order:
 *
 * <ol>
 *   <li>requests that can still be answered within their latency objective, the earliest deadline
 *       first;
 *   <li>the late ones, the newest first, so that scarce slots do not go to those that are about to
 *       time out.
 * </ol>
 *
 * <p>Clients that kept to a Retry-After precede what arrived meanwhile.
 */
final class QueuePolicy {
  /**
   * The share of its latency objective after which a waiting read goes to any replica that can
   * answer, or to the primary, whose slots may be idle; there it takes them from new writes.
   */
  private static final double SELECTIVE_WAIT_SHARE = 0.25;

  /** Within that many expected service times nearly all answers come. */
  private static final double IN_TIME_MULTIPLE = 3;

  /** The priority value of late requests, less their deadline: behind all that are in time. */
  private static final long LATE_PRIORITY = Long.MAX_VALUE - 1;

  private final boolean areSlotsShared;
  private final ServiceTimes serviceTimes;
  private final FreshnessPolicy freshness;
  private final WriteSelector writes;
  private final ReplicaSelector replicas;
  private final ConcurrencyLimiter limiter;

  QueuePolicy(
      RoutingSettings settings,
      ServiceTimes serviceTimes,
      FreshnessPolicy freshness,
      WriteSelector writes,
      ReplicaSelector replicas,
      ConcurrencyLimiter limiter) {
    areSlotsShared = ConcurrencyLimiter.areSlotsShared(settings);
    this.serviceTimes = serviceTimes;
    this.freshness = freshness;
    this.writes = writes;
    this.replicas = replicas;
    this.limiter = limiter;
  }

  /** The request of that queue that the host gets next, if it can take one. */
  @Nullable PendingRequest next(WaitQueue queue, HostState host, long now) {
    if (queue.isEmpty() || !limiter.canTakeAttempt(host, now)) {
      return null;
    }
    return queue.findFirst(
        pending -> priority(pending, now), pending -> accepts(pending, host, now));
  }

  /**
   * Whether the host may serve that waiting request: a write at the primary, a read at a suitable
   * host, if a slot is free. Other routers may have better requests for a shared slot, so that slow
   * hosts get no late ones there.
   */
  private boolean accepts(PendingRequest pending, HostState host, long now) {
    if (areSlotsShared && isLate(pending, now) && ConcurrencyLimiter.isSlow(host)) {
      return false;
    }
    if (pending.isWrite()) {
      return writes.accepts(pending, host, now);
    }
    freshness.updateRequiredPosition(pending, now);
    double selectiveWait = pending.requestClass.latencyObjectiveNanos() * SELECTIVE_WAIT_SHARE;
    boolean canFallBack = now - pending.arrivedAt > selectiveWait;
    return replicas.accepts(pending, host, canFallBack, now);
  }

  /** The place of a waiting request in the order, the smallest first. */
  private long priority(PendingRequest pending, long now) {
    long deadline = pending.objectiveDeadline;
    long basePriority = isLate(pending, now) ? LATE_PRIORITY - deadline : deadline;
    return basePriority - pending.request.waitedNanos();
  }

  /** Whether an answer within the latency objective has become unlikely. */
  private boolean isLate(PendingRequest pending, long now) {
    double expectedNanos = serviceTimes.expectedNanos(pending);
    return now + expectedNanos * IN_TIME_MULTIPLE > pending.objectiveDeadline;
  }
}
