package rushwood.policy;

import rushwood.api.AttemptOutcome;

/** One try at serving an access; {@code end} is null while it is out. */
final class Attempt {
  final PendingRequest pending;
  final int number;
  final HostState host;
  final long sentAt;
  AttemptOutcome outcome;
  boolean cancelled;
  int overtakenBy;
  boolean presumedLost;
  final boolean control;

  Attempt(PendingRequest pending, HostState host, long sentAt, boolean control) {
    this.pending = pending;
    this.number = pending.attempts.size();
    this.host = host;
    this.sentAt = sentAt;
    this.control = control;
  }
}
