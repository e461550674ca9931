package rushwood.policy;

import rushwood.api.AttemptOutcome;
import rushwood.api.OverloadSignals;

/** Decides whether a request may be sent (again), to which hosts, and until when. */
final class RetryPolicy {
  private static final int MAX_ERRORS = 2; // from two hosts: the request itself may be at fault
  private static final double WINDOW_SHARE = 0.9; // of a key's window; the rest is for the network

  private final int maxAttempts;
  private final OverloadSignals overloadSignals;

  RetryPolicy(int maxAttempts, OverloadSignals overloadSignals) {
    this.maxAttempts = maxAttempts;
    this.overloadSignals = overloadSignals;
  }

  /** Whether another attempt may be made now: within the limits, the retry budget and safety. */
  boolean canAttempt(PendingRequest pending, long now) {
    return pending.attemptCount() < maxAttempts
        && pending.errorCount() < MAX_ERRORS
        && (!isCostly(pending) || overloadSignals.canRetry(now, pending.request.group()))
        && isSafe(pending, now);
  }

  /**
   * Whether the last attempt took work or a place in its host's queue, as a retry would again. One
   * that was not sent, found no connection, or was refused by a lagging replica did not.
   */
  static boolean isCostly(PendingRequest pending) {
    if (!pending.hasAttempts()) {
      return false;
    }
    Attempt last = pending.lastAttempt();
    return !last.endedAs(AttemptOutcome.NOT_SENT)
        && !last.endedAs(AttemptOutcome.CONNECT_FAILED)
        && !last.endedAs(AttemptOutcome.REPLICA_LAGGING);
  }

  /** Whether the client may repeat the request without harm: it ran nowhere, or may run twice. */
  static boolean isRepeatable(PendingRequest pending) {
    return pending.isIdempotent() || !pending.isPossiblyExecuted();
  }

  private static boolean isSafe(PendingRequest pending, long now) {
    return isRepeatable(pending) || (pending.hasIdempotencyKey() && now < retryDeadline(pending));
  }

  /** Whether an attempt at that host is safe: an idempotency key is known only within its scope. */
  static boolean isSafeOn(PendingRequest pending, HostState host, long now) {
    if (isRepeatable(pending)) {
      return true;
    }
    HostState first = pending.firstPossiblyExecuted().host;
    return isSafe(pending, now)
        && pending.requestClass.keyScope().isShared(first.endpoint(), host.endpoint());
  }

  /** Until when an attempt may begin: its connection must not come up after the key's window. */
  static long retryDeadline(PendingRequest pending) {
    if (!pending.hasIdempotencyKey() || !pending.isPossiblyExecuted()) {
      return Long.MAX_VALUE;
    }
    long windowNanos = pending.requestClass.idempotencyWindowNanos();
    return pending.firstPossiblyExecuted().sentAt + (long) (windowNanos * WINDOW_SHARE);
  }

  /** Whether a request can be sent again after a cancelled attempt, which may have run. */
  static boolean canRetryAfterCancel(PendingRequest pending) {
    return pending.isIdempotent() || pending.hasIdempotencyKey();
  }

  /** The Retry-After of a rejected request: while others wait, a quick repeat does not help. */
  long retryAfterNanos(PendingRequest pending, long now) {
    boolean othersWaiting = !pending.group.firstAttempts.isEmpty();
    return overloadSignals.retryAfterNanos(now, pending.request, othersWaiting);
  }

  /** Records how an attempt ended: the request avoids hosts that were behind or at fault. */
  static void attemptFinished(Attempt attempt, AttemptOutcome outcome) {
    switch (outcome) {
      case REPLICA_LAGGING, ERROR, MALFORMED, CONNECTION_LOST, NOT_SENT ->
          attempt.pending.avoid(attempt.host);
      default -> {} // Another host would do no better, or health and limits keep it away.
    }
    attempt.end(outcome);
  }
}
