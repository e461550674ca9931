package rushwood.policy;

import org.jspecify.annotations.Nullable;

/**
 * Decides what happens with a request that has no attempt in flight. The first case that applies:
 *
 * <ol>
 *   <li>its answer deadline has come ({@link DeadlinePolicy#answerDeadline}): it ends;
 *   <li>no further attempt is allowed ({@link RetryPolicy#reasonAgainstAttempt}): it ends;
 *   <li>a host can take it ({@link WriteSelector}, {@link ReplicaSelector}): it is sent there;
 *   <li>otherwise it waits for a free slot.
 * </ol>
 *
 * <p>A request that ends is rejected if trying again is harmless, that is, if it may run twice or
 * provably never ran; otherwise it fails. {@link EndReason} says why it ends, {@link Decision.Wait}
 * why it waits. A waiting request gets a slot by {@link QueuePolicy}.
 */
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

  /** What happens now with a request that has just come, or whose last attempt has ended. */
  Decision decide(PendingRequest pending, long now) {
    if (deadlines.isExpired(pending, now)) {
      return end(pending, EndReason.EXPIRED);
    }
    @Nullable EndReason reason = retries.reasonAgainstAttempt(pending, now);
    if (reason != null) {
      return end(pending, reason);
    }
    freshness.updateRequiredPosition(pending, now);
    return pending.isWrite() ? writes.select(pending, now) : replicas.select(pending, now);
  }

  /** The final answer of a request that ends for that reason: rejected or failed. */
  static Decision end(PendingRequest pending, EndReason reason) {
    return RetryPolicy.isRepeatable(pending) ? reason.rejection() : reason.failure();
  }
}
