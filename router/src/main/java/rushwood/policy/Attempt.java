package rushwood.policy;

import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;

/** One try at serving a request on one host. */
final class Attempt {
  final PendingRequest pending;

  /** Counts the request's attempts from 0. */
  final int number;

  final HostState host;
  final long sentAt;

  /** Whether this attempt is a control sample: presumed lost only when that is certain. */
  final boolean isControlSample;

  private @Nullable AttemptOutcome outcome;
  private boolean cancelled;
  private int overtakenCount;
  private boolean presumedLost;

  /** Creates the next attempt of a request, in flight from now on. */
  Attempt(PendingRequest pending, HostState host, long sentAt, boolean isControlSample) {
    this.pending = pending;
    this.number = pending.attemptCount();
    this.host = host;
    this.sentAt = sentAt;
    this.isControlSample = isControlSample;
  }

  /** The attempt has ended. */
  void end(AttemptOutcome newOutcome) {
    outcome = newOutcome;
  }

  boolean isInFlight() {
    return outcome == null;
  }

  /** Whether the attempt has ended in that way. */
  boolean endedWith(AttemptOutcome expected) {
    return outcome == expected;
  }

  /** Whether the host may have executed the request: unless the outcome proves that it has not. */
  boolean isPossiblyExecuted() {
    return outcome == null || !outcome.provesNotExecuted();
  }

  /** Marks the attempt as cancelled; returns whether it was not yet. */
  boolean markCancelled() {
    boolean isFirst = !cancelled;
    cancelled = true;
    return isFirst;
  }

  /** A later attempt at the same host has been answered. */
  void incrementOvertakenCount() {
    overtakenCount++;
  }

  /** How many later attempts at the same host have been answered since. */
  int overtakenCount() {
    return overtakenCount;
  }

  /** The answer is not expected any more; {@link InFlightAttempts#presumeLost} calls this. */
  void presumeLost() {
    presumedLost = true;
  }

  boolean isPresumedLost() {
    return presumedLost;
  }

  /** How long its host has not answered anything, in nanoseconds, since it was sent at the most. */
  long hostSilenceNanos(long now) {
    return now - Math.max(host.health.lastAnswerAt(), sentAt);
  }
}
