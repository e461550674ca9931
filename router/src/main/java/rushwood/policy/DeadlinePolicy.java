package rushwood.policy;

import rushwood.api.OverloadSignals;

/**
 * Decides how long a request is held, and how long an attempt may take. Times are clock times in
 * nanoseconds.
 */
final class DeadlinePolicy {
  /** Clock ticks between an answer of the router and its client's deadline. */
  private static final int MARGIN_TICKS = 2;

  /**
   * The longest time that is set aside before a deadline for a router with too little processor
   * time. With more, hardly any time would be left for hosts to answer in.
   */
  private static final long MAX_ANSWER_RESERVE_NANOS = 400_000_000L;

  /**
   * How many times the present delay is set aside: while load grows, the next delay is longer than
   * the last one.
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
   * @param overloadSignals tell by how much more answers are late at present
   */
  DeadlinePolicy(long clockResolutionNanos, OverloadSignals overloadSignals) {
    marginNanos = MARGIN_TICKS * clockResolutionNanos;
    this.overloadSignals = overloadSignals;
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
   * When a request is rejected or failed if it has no answer: a reserve before its deadline, or
   * before the end of the router if that is earlier. The reserve is a margin for timers, or the
   * twice the time by which answers are late at present if that is longer; so the deadline of a
   * request moves while the router's load changes.
   *
   * <p>A request that was never sent, and whose answer is worth nothing after its latency
   * objective, ends at half of its time: an answer within the objective is unlikely by then, and
   * its client can still retry.
   */
  long answerDeadline(PendingRequest pending) {
    long deadline = Math.min(pending.request.deadline(), shutdownAt) - answerReserveNanos();
    if (!pending.hasAttempts() && pending.requestClass.lateValue() == 0) {
      return Math.min(deadline, halfwayTime(pending) - marginNanos);
    }
    return deadline;
  }

  private static long halfwayTime(PendingRequest pending) {
    long deadline = pending.request.deadline();
    return deadline - (deadline - pending.arrivedAt) / 2;
  }

  /** How long an attempt that is sent now may take, in nanoseconds. */
  long attemptTimeoutNanos(PendingRequest pending, long now) {
    return pending.request.deadline() - answerReserveNanos() - now;
  }

  private long answerReserveNanos() {
    long delayNanos = ANSWER_DELAY_MULTIPLE * overloadSignals.answerDelayNanos();
    return Math.max(marginNanos, Math.min(delayNanos, MAX_ANSWER_RESERVE_NANOS));
  }
}
