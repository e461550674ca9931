package rushwood.policy;

import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;

/** One attempt to serve a request on one host. Times are clock times in nanoseconds. */
final class Attempt {
  final PendingRequest pending;

  /** The index of this attempt among those of its request, from 0. */
  final int number;

  final HostState host;
  final long sentAt;

  /**
   * Whether this attempt belongs to the control sample of {@link LostAnswerDetector}, which
   * presumes it lost only once its loss is certain.
   */
  final boolean isControlSample;

  private @Nullable AttemptOutcome outcome;
  private boolean cancelled;
  private int overtakenCount;
  private boolean presumedLost;

  /** Creates the next attempt of a request; it is in flight until {@link #end} is called. */
  Attempt(PendingRequest pending, HostState host, long sentAt, boolean isControlSample) {
    this.pending = pending;
    this.number = pending.attemptCount();
    this.host = host;
    this.sentAt = sentAt;
    this.isControlSample = isControlSample;
  }

  /** Records the outcome of the attempt, which is no longer in flight. */
  void end(AttemptOutcome newOutcome) {
    outcome = newOutcome;
  }

  boolean isInFlight() {
    return outcome == null;
  }

  /** Returns whether the attempt has ended with the given outcome. */
  boolean endedWith(AttemptOutcome expected) {
    return outcome == expected;
  }

  /**
   * Returns whether the host may have executed the request; true until an outcome proves otherwise.
   */
  boolean isPossiblyExecuted() {
    return outcome == null || !outcome.provesNotExecuted();
  }

  /** Marks the attempt as cancelled; returns false if it was cancelled before. */
  boolean markCancelled() {
    boolean isFirst = !cancelled;
    cancelled = true;
    return isFirst;
  }

  /** Counts the success of a later attempt at the same host. */
  void incrementOvertakenCount() {
    overtakenCount++;
  }

  /** Returns how many later attempts at the same host succeeded while this one was in flight. */
  int overtakenCount() {
    return overtakenCount;
  }

  /** Marks the answer as no longer expected; called by {@link InFlightAttempts#presumeLost}. */
  void presumeLost() {
    presumedLost = true;
  }

  boolean isPresumedLost() {
    return presumedLost;
  }

  /**
   * Returns the time since the last answer from the host, or since this attempt was sent if that is
   * shorter, in nanoseconds.
   */
  long hostSilenceNanos(long now) {
    return now - Math.max(host.health.lastAnswerAt(), sentAt);
  }
}
