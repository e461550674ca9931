package rushwood.policy;

import org.jspecify.annotations.Nullable;
import rushwood.api.RoutingSettings;

/**
 * Decides which waiting request gets a free slot of a host. Among the requests that the host may
 * serve, the order is:
 *
 * <ol>
 *   <li>requests that can still be answered within their latency objective, earliest deadline
 *       first;
 *   <li>late requests, latest deadline first, so that scarce slots do not go to requests that are
 *       about to time out.
 * </ol>
 *
 * <p>The time that a client waited because of a Retry-After moves its request ahead of those that
 * arrived meanwhile.
 */
final class QueuePolicy {
  /**
   * The share of its latency objective after which a waiting read may go to any replica that can
   * answer, or to the primary. Until then, idle slots of the primary are left to new writes.
   */
  private static final double SELECTIVE_WAIT_SHARE = 0.25;

  /** Nearly all answers come within this many expected service times. */
  private static final double IN_TIME_MULTIPLE = 3;

  /**
   * The priority value of a late request is this less its deadline, which places it behind all
   * requests that are in time.
   */
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

  /**
   * Returns the request in the queue that gets a slot of the host next, or null if the host can
   * take none.
   */
  @Nullable PendingRequest next(WaitQueue queue, HostState host, long now) {
    if (queue.isEmpty() || !limiter.canTakeAttempt(host, now)) {
      return null;
    }
    return queue.findFirst(
        pending -> priority(pending, now), pending -> accepts(pending, host, now));
  }

  /**
   * Returns whether the host may serve the waiting request, a write only as the primary, a read
   * only if it suits the read, and has a free slot for it. If routers share slots, a slow host gets
   * no late requests, because requests of other routers may still be in time for the same slot.
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

  /** Returns the priority value of a waiting request; the smallest value goes first. */
  private long priority(PendingRequest pending, long now) {
    long deadline = pending.objectiveDeadline;
    long basePriority = isLate(pending, now) ? LATE_PRIORITY - deadline : deadline;
    return basePriority - pending.request.waitedNanos();
  }

  /** Returns whether an answer within the latency objective has become unlikely. */
  private boolean isLate(PendingRequest pending, long now) {
    double expectedNanos = serviceTimes.expectedNanos(pending);
    return now + expectedNanos * IN_TIME_MULTIPLE > pending.objectiveDeadline;
  }
}
