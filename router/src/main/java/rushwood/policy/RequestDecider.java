package rushwood.policy;

/**
 * Decides what happens to a request that has no attempt in flight. The first case that applies:
 *
 * <ol>
 *   <li>its answer deadline ({@link DeadlinePolicy#answerDeadline}) has been reached: it ends,
 *       {@link EndReason#EXPIRED};
 *   <li>it has used up the attempts that the settings allow: it ends, {@link
 *       EndReason#ATTEMPTS_USED_UP};
 *   <li>several attempts were answered with an error: it ends, {@link EndReason#TOO_MANY_ERRORS};
 *   <li>its retry would cost a host work, and overload control allows its group no retry: it ends,
 *       {@link EndReason#RETRY_BUDGET_USED_UP};
 *   <li>it may have run, and must not run twice: it ends, {@link EndReason#POSSIBLY_EXECUTED};
 *   <li>it may have run, and the window of its idempotency key is nearly over: it ends, {@link
 *       EndReason#IDEMPOTENCY_WINDOW_OVER};
 *   <li>a host can take it: it is sent there, {@link Decision.Send};
 *   <li>otherwise it waits, {@link Decision.Wait}, until {@link QueuePolicy} gives it a slot or its
 *       answer deadline is reached.
 * </ol>
 *
 * <p>A request that ends is rejected if trying again is harmless, that is, if it is idempotent or
 * provably never ran; otherwise it fails. At its answer deadline a request ends even while an
 * attempt is in flight, and that attempt may have run. {@link RetryPolicy} implements cases 2 to 6;
 * {@link WriteSelector} and {@link ReplicaSelector} choose the host.
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

  /**
   * Decides what to do now with a request that has just arrived, that waits or whose last attempt
   * has ended.
   */
  Decision decide(PendingRequest pending, long now) {
    if (deadlines.isExpired(pending, now)) {
      return end(pending, EndReason.EXPIRED);
    }
    EndReason reason = retries.findEndReason(pending, now);
    if (reason != null) {
      return end(pending, reason);
    }
    freshness.updateRequiredPosition(pending, now);
    return pending.isWrite() ? writes.select(pending, now) : replicas.select(pending, now);
  }

  /**
   * Returns the final answer to a request that ends for the given reason: rejected if trying again
   * is harmless, otherwise failed.
   */
  static Decision end(PendingRequest pending, EndReason reason) {
    return RetryPolicy.isRepeatable(pending) ? reason.rejection() : reason.failure();
  }
}
