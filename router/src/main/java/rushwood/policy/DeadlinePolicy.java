package rushwood.policy;

import rushwood.api.RoutingSettings;

/** Decides how long a request is held, and how long an attempt may take. */
final class DeadlinePolicy {
  private static final int MARGIN_TICKS = 2; // clock ticks before the client's deadline

  private final long marginNanos;
  private long shutdownAt = Long.MAX_VALUE;

  DeadlinePolicy(RoutingSettings settings) {
    marginNanos = MARGIN_TICKS * settings.clockResolutionNanos();
  }

  /** From now on every request is answered before that time. */
  void shutDownAt(long deadline) {
    shutdownAt = deadline;
  }

  /**
   * When a request is rejected or failed if it has no answer. One that was never sent and is worth
   * nothing late ends at half of its time: an answer in time is unlikely by then, and its client
   * can still retry. The cost: a slot may come free just after that.
   */
  long answerDeadline(PendingRequest pending) {
    long deadline = pending.request.deadline();
    if (!pending.hasAttempts() && pending.requestClass.lateValue() == 0) {
      deadline -= (deadline - pending.arrivedAt) / 2;
    }
    return Math.min(deadline, shutdownAt) - marginNanos;
  }

  long attemptTimeoutNanos(PendingRequest pending, long now) {
    return pending.request.deadline() - marginNanos - now;
  }
}
