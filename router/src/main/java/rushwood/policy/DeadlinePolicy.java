package rushwood.policy;

import rushwood.api.OverloadSignals;

/**
 * Decides how long a request may be held, and how long an attempt may take. Times are clock times
 * in nanoseconds.
 */
final class DeadlinePolicy {
  /**
   * The margin between the router's answer and the client's deadline, in ticks of the clock
   * resolution.
   */
  private static final int MARGIN_TICKS = 2;

  /**
   * The longest reserve before a deadline if the router gets too little processor time. A longer
   * one would leave hosts hardly any time to answer.
   */
  private static final long MAX_ANSWER_RESERVE_NANOS = 400_000_000L;

  /**
   * The reserve as a multiple of the current answer delay: while load grows, the next delay is
   * longer than the last one.
   */
  private static final int ANSWER_DELAY_MULTIPLE = 2;

  private static final long NOT_SHUTTING_DOWN = Long.MAX_VALUE;

  private final long marginNanos;
  private final OverloadSignals overloadSignals;
  private long shutdownAt = NOT_SHUTTING_DOWN;

  /**
   * Creates the policy of a router that is not shutting down.
   *
   * @param clockResolutionNanos how late a timer may fire
   * @param overloadSignals the source of the current answer delay
   */
  DeadlinePolicy(long clockResolutionNanos, OverloadSignals overloadSignals) {
    marginNanos = MARGIN_TICKS * clockResolutionNanos;
    this.overloadSignals = overloadSignals;
  }

  /** Requires that every request is answered before the given time. */
  void shutDownAt(long deadline) {
    shutdownAt = deadline;
  }

  /** Returns whether a request without an answer has to be rejected or failed now. */
  boolean isExpired(PendingRequest pending, long now) {
    return now >= answerDeadline(pending);
  }

  /**
   * Returns when a request is rejected or failed if it has no answer: a reserve before its
   * deadline, or before the shutdown of the router if that is earlier. The reserve is the timer
   * margin, or twice the current answer delay up to a maximum if that is longer, so the answer
   * deadline of a request moves while the load of the router changes.
   *
   * <p>A request that was never sent, and whose answer is worth nothing after its latency
   * objective, ends shortly before the midpoint between its arrival and its deadline: by then an
   * answer within the objective is unlikely, and its client can still retry.
   */
  long answerDeadline(PendingRequest pending) {
    long deadline = Math.min(pending.request.deadline(), shutdownAt) - answerReserveNanos();
    if (!pending.hasAttempts() && pending.requestClass.lateValue() == 0) {
      return Math.min(deadline, halfwayTime(pending) - marginNanos);
    }
    return deadline;
  }

  /** Returns the midpoint between the arrival and the deadline of a request. */
  private static long halfwayTime(PendingRequest pending) {
    long deadline = pending.request.deadline();
    return deadline - (deadline - pending.arrivedAt) / 2;
  }

  /** Returns the timeout of an attempt that is sent now, in nanoseconds. */
  long attemptTimeoutNanos(PendingRequest pending, long now) {
    return pending.request.deadline() - answerReserveNanos() - now;
  }

  private long answerReserveNanos() {
    long delayNanos = ANSWER_DELAY_MULTIPLE * overloadSignals.answerDelayNanos();
    return Math.max(marginNanos, Math.min(delayNanos, MAX_ANSWER_RESERVE_NANOS));
  }
}
