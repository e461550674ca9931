package rushwood.policy;

import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.api.OverloadSignals;

/**
 * Decides whether a request may be sent or retried, on which hosts and until when, and which
 * Retry-After its client gets when it is rejected.
 *
 * <p>Safety: a request that may have run is sent again only if it is idempotent, or within the
 * scope and window of its idempotency key.
 */
final class RetryPolicy {
  /** The number of attempts with an error that ends a request, which may itself be at fault. */
  private static final int MAX_ERRORS = 2;

  /**
   * The share of an idempotency window in which retries may start; the rest allows for network
   * delays.
   */
  private static final double WINDOW_SHARE = 0.9;

  private static final long NO_DEADLINE = Long.MAX_VALUE;

  private final int maxAttempts;
  private final OverloadSignals overloadSignals;

  RetryPolicy(int maxAttempts, OverloadSignals overloadSignals) {
    this.maxAttempts = maxAttempts;
    this.overloadSignals = overloadSignals;
  }

  /**
   * Returns why no attempt may be made now, or null if one may. The first case that applies:
   *
   * <ol>
   *   <li>the request has used up the attempts that the settings allow;
   *   <li>{@value #MAX_ERRORS} attempts were answered with an error;
   *   <li>the retry would cost its host work, and the retry budget of the group is used up;
   *   <li>the request may have run, is not idempotent and has no idempotency key;
   *   <li>the request may have run, and the window of its idempotency key is nearly over.
   * </ol>
   *
   * <p>The budget is checked before safety, so it may also deny a retry that would not be safe.
   */
  @Nullable EndReason findEndReason(PendingRequest pending, long now) {
    if (pending.attemptCount() >= maxAttempts) {
      return EndReason.ATTEMPTS_USED_UP;
    }
    if (pending.errorCount() >= MAX_ERRORS) {
      return EndReason.TOO_MANY_ERRORS;
    }
    if (isCostly(pending) && !overloadSignals.canRetry(now, pending.request.group())) {
      return EndReason.RETRY_BUDGET_USED_UP;
    }
    if (isSafe(pending, now)) {
      return null;
    }
    return pending.hasIdempotencyKey()
        ? EndReason.IDEMPOTENCY_WINDOW_OVER
        : EndReason.POSSIBLY_EXECUTED;
  }

  /**
   * Returns whether the last attempt cost its host work or a place in its queue, as a retry would
   * again. An attempt that was not sent, found no connection or was refused by a replica did not.
   */
  static boolean isCostly(PendingRequest pending) {
    if (!pending.hasAttempts()) {
      return false;
    }
    Attempt last = pending.lastAttempt();
    return !last.endedWith(AttemptOutcome.NOT_SENT)
        && !last.endedWith(AttemptOutcome.CONNECT_FAILED)
        && !last.endedWith(AttemptOutcome.REPLICA_LAGGING);
  }

  /** Returns whether repeating the request is harmless: it ran nowhere, or may run twice. */
  static boolean isRepeatable(PendingRequest pending) {
    return pending.isIdempotent() || !pending.isPossiblyExecuted();
  }

  private static boolean isSafe(PendingRequest pending, long now) {
    return isRepeatable(pending) || (pending.hasIdempotencyKey() && now < retryDeadline(pending));
  }

  /**
   * Returns whether an attempt on the host is safe: an idempotency key is recognised only within
   * its scope.
   */
  static boolean isSafeOn(PendingRequest pending, HostState host, long now) {
    if (pending.isIdempotent()) {
      return true;
    }
    Attempt first = pending.firstPossiblyExecutedAttempt();
    return first == null
        || (isSafe(pending, now)
            && pending
                .requestClass
                .keyScope()
                .includesBoth(first.host.endpoint(), host.endpoint()));
  }

  /**
   * Returns the clock time before which an attempt has to start; {@code Long.MAX_VALUE} if there is
   * no limit. An attempt that waits for its connection must not be sent after the window of the
   * idempotency key, which begins with the first attempt that may have run.
   */
  static long retryDeadline(PendingRequest pending) {
    if (!pending.hasIdempotencyKey()) {
      return NO_DEADLINE;
    }
    Attempt first = pending.firstPossiblyExecutedAttempt();
    if (first == null) {
      return NO_DEADLINE;
    }
    long windowNanos = pending.requestClass.idempotencyWindowNanos();
    return first.sentAt + (long) (windowNanos * WINDOW_SHARE);
  }

  /** Returns whether the request can be retried after a cancelled attempt, which may have run. */
  static boolean canRetryAfterCancel(PendingRequest pending) {
    return pending.isIdempotent() || pending.hasIdempotencyKey();
  }

  /**
   * Returns the Retry-After of a rejected request in nanoseconds, 0 for none. While other requests
   * of the group wait for their first attempt, an immediate retry would not help.
   */
  long retryAfterNanos(PendingRequest pending, long now) {
    boolean othersWaiting = !pending.group.firstAttempts.isEmpty();
    return overloadSignals.retryAfterNanos(now, pending.request, othersWaiting);
  }

  /**
   * Records how an attempt ended. The request avoids hosts that lagged or were at fault. After
   * other outcomes another host would do no better, or ejection, pauses and limits already keep
   * requests away from the host.
   */
  static void attemptFinished(Attempt attempt, AttemptOutcome outcome) {
    switch (outcome) {
      case REPLICA_LAGGING, ERROR, MALFORMED, CONNECTION_LOST, NOT_SENT ->
          attempt.pending.avoid(attempt.host);
      case SUCCESS, OVERLOADED, TIMED_OUT, CANCELLED, CONNECT_FAILED -> {}
    }
    attempt.end(outcome);
  }
}
