package rushwood.policy;

import org.jspecify.annotations.Nullable;

/** Decides whether a request that has no attempt in flight ends, and else which host it goes to. */
final class RequestDecider {
  private final DeadlinePolicy deadlines;
  private final RetryPolicy retries;
  private final FreshnessPolicy freshness;
  private final WriteSelector writes;
  private final ReplicaSelector replicas;

  RequestDecider(
      DeadlinePolicy deadlines,
      RetryPolicy retries,
      FreshnessPolicy freshness,
      WriteSelector writes,
      ReplicaSelector replicas) {
    this.deadlines = deadlines;
    this.retries = retries;
    this.freshness = freshness;
    this.writes = writes;
    this.replicas = replicas;
  }

  /** Whether the request may get another attempt now; if not, it ends. */
  boolean canAttempt(PendingRequest pending, long now) {
    return !deadlines.isExpired(pending, now) && retries.canAttempt(pending, now);
  }

  /** The host that the request goes to, if it does not have to wait. */
  @Nullable HostState selectHost(PendingRequest pending, long now) {
    freshness.updateRequiredPosition(pending, now);
    return pending.isWrite() ? writes.select(pending, now) : replicas.select(pending, now);
  }
}
