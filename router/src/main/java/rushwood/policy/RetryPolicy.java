package rushwood.policy;

import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.api.OverloadSignals;

/**
 * Decides whether a request may be sent (again), to which hosts and until when, and what its client
 * is told when it is rejected.
 *
 * <p>Safety: a request that may have run is sent again only if it is idempotent, or if it has an
 * idempotency key: then within the key's scope and window.
 */
final class RetryPolicy {
  /** That many attempts with an error end a request: it may itself be at fault. */
  private static final int MAX_ERRORS = 2;

  /** The share of an idempotency window in which retries may begin; the rest is for the network. */
  private static final double WINDOW_SHARE = 0.9;

  private static final long NO_DEADLINE = Long.MAX_VALUE;

  private final int maxAttempts;
  private final OverloadSignals overloadSignals;

  RetryPolicy(int maxAttempts, OverloadSignals overloadSignals) {
    this.maxAttempts = maxAttempts;
    this.overloadSignals = overloadSignals;
  }

  /**
   * Why no attempt may be made now, if none may. The first case that applies:
   *
   * <ol>
   *   <li>it has had all attempts that the settings allow;
   *   <li>{@value #MAX_ERRORS} attempts were answered with an error;
   *   <li>the retry would cost its host work, and the retry budget of the group is used up;
   *   <li>it may have run, and has no idempotency key and is not idempotent;
   *   <li>it may have run, and the window of its idempotency key is nearly over.
   * </ol>
   *
   * <p>The budget is asked before safety, so a retry that it denies may be one that was not allowed
   * anyway.
   */
  @Nullable EndReason reasonAgainstAttempt(PendingRequest pending, long now) {
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
    if (pending.isIdempotent()) {
      return true;
    }
    Attempt first = pending.firstPossiblyExecuted();
    return first == null
        || (isSafe(pending, now)
            && pending
                .requestClass
                .keyScope()
                .includesBoth(first.host.endpoint(), host.endpoint()));
  }

  /**
   * The clock time until when an attempt may begin; {@code Long.MAX_VALUE} without a limit. Its
   * connection must not come up after the window of the idempotency key, which began with the first
   * attempt that may have run.
   */
  static long retryDeadline(PendingRequest pending) {
    if (!pending.hasIdempotencyKey()) {
      return NO_DEADLINE;
    }
    Attempt first = pending.firstPossiblyExecuted();
    if (first == null) {
      return NO_DEADLINE;
    }
    long windowNanos = pending.requestClass.idempotencyWindowNanos();
    return first.sentAt + (long) (windowNanos * WINDOW_SHARE);
  }

  /** Whether a request can be sent again after a cancelled attempt, which may have run. */
  static boolean canRetryAfterCancel(PendingRequest pending) {
    return pending.isIdempotent() || pending.hasIdempotencyKey();
  }

  /**
   * The Retry-After of a rejected request, in nanoseconds, 0 for none: while others wait, a quick
   * repeat does not help.
   */
  long retryAfterNanos(PendingRequest pending, long now) {
    boolean othersWaiting = !pending.group.firstAttempts.isEmpty();
    return overloadSignals.retryAfterNanos(now, pending.request, othersWaiting);
  }

  /**
   * Records how an attempt ended. The request avoids the hosts that were behind or at fault. After
   * other outcomes another host would do no better, or ejection, pauses and limits keep it away.
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
