package rushwood.policy;

/**
 * Decides how long a request is held, and how long an attempt may take. Times are clock times in
 * nanoseconds.
 */
final class DeadlinePolicy {
  /** Clock ticks between an answer of the router and its client's deadline. */
  private static final int MARGIN_TICKS = 2;

  private static final long NOT_SHUTTING_DOWN = Long.MAX_VALUE;

  private final long marginNanos;
  private long shutdownAt = NOT_SHUTTING_DOWN;

  /**
   * Creates the policy of a router that is not shutting down.
   *
   * @param clockResolutionNanos how late a timer may fire
   */
  DeadlinePolicy(long clockResolutionNanos) {
    marginNanos = MARGIN_TICKS * clockResolutionNanos;
  }

  /** From now on every request is answered before that time. */
  void shutDownAt(long deadline) {
    shutdownAt = deadline;
  }

  /** Whether a request without an answer has to be rejected or failed now. */
  boolean isExpired(PendingRequest pending, long now) {
    return now >= answerDeadline(pending);
  }

  /**
   * When a request is rejected or failed if it has no answer: a margin before its deadline, or
   * before the end of the router if that is earlier.
   *
   * <p>A request that was never sent, and whose answer is worth nothing after its latency
   * objective, ends at half of its time: an answer within the objective is unlikely by then, and
   * its client can still retry.
   */
  long answerDeadline(PendingRequest pending) {
    long deadline = pending.request.deadline();
    if (!pending.hasAttempts() && pending.requestClass.lateValue() == 0) {
      deadline -= (deadline - pending.arrivedAt) / 2;
    }
    return Math.min(deadline, shutdownAt) - marginNanos;
  }

  /** How long an attempt that is sent now may take, in nanoseconds. */
  long attemptTimeoutNanos(PendingRequest pending, long now) {
    return pending.request.deadline() - marginNanos - now;
  }
}
