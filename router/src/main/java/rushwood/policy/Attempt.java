package rushwood.policy;

import rushwood.api.AttemptOutcome;

/** One try at serving a request on one host. */
final class Attempt {
  final PendingRequest pending;

  /** Counts the request's attempts from 0. */
  final int number;

  final HostState host;
  final long sentAt;

  /** Whether this attempt is a control sample: presumed lost only when that is certain. */
  final boolean isControl;

  /** How the attempt ended; null while it is in flight. */
  AttemptOutcome outcome;

  boolean cancelled;

  /** How many later attempts at the same host have been answered since. */
  int overtakenBy;

  boolean presumedLost;

  Attempt(PendingRequest pending, HostState host, long sentAt, boolean isControl) {
    this.pending = pending;
    this.number = pending.attempts.size();
    this.host = host;
    this.sentAt = sentAt;
    this.isControl = isControl;
  }

  boolean isInFlight() {
    return outcome == null;
  }

  /** How long its host has not answered anything, in nanoseconds, since it was sent at the most. */
  long silenceNanos(long now) {
    return now - Math.max(host.health.lastAnswerAt, sentAt);
  }

  /** Whether the host may have executed the request: unless the outcome proves that it has not. */
  boolean isPossiblyExecuted() {
    return outcome == null || !outcome.provesNotExecuted();
  }
}
