package rushwood.policy;

import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;

/** Sends a request to the chosen host and notifies the components that keep track of attempts. */
final class AttemptSender {
  private final PolicyActions actions;
  private final OverloadSignals overloadSignals;
  private final DeadlinePolicy deadlines;
  private final FreshnessPolicy freshness;
  private final HealthCheckPolicy healthChecks;
  private final SlowStart slowStart;
  private final LostAnswerDetector lostAnswers;

  AttemptSender(
      PolicyActions actions,
      OverloadSignals overloadSignals,
      DeadlinePolicy deadlines,
      FreshnessPolicy freshness,
      HealthCheckPolicy healthChecks,
      SlowStart slowStart,
      LostAnswerDetector lostAnswers) {
    this.actions = actions;
    this.overloadSignals = overloadSignals;
    this.deadlines = deadlines;
    this.freshness = freshness;
    this.healthChecks = healthChecks;
    this.slowStart = slowStart;
    this.lostAnswers = lostAnswers;
  }

  /**
   * Starts an attempt at the given host, after removing the request from its wait queue if it is in
   * one.
   */
  void send(PendingRequest pending, HostState host, long now) {
    pending.dequeue();
    healthChecks.attemptSent(host, now);
    overloadSignals.attemptSent(now, pending.request.group(), RetryPolicy.isCostly(pending));
    long timeoutNanos = deadlines.attemptTimeoutNanos(pending, now);
    long writeDeadline =
        Math.min(RetryPolicy.retryDeadline(pending), freshness.writeDeadline(pending, host));
    long startWithinNanos = Math.min(timeoutNanos, writeDeadline - now);
    Attempt attempt = pending.startAttempt(host, now, lostAnswers.drawControlSample());
    host.inFlight.add(attempt);
    slowStart.attemptSent(attempt);
    actions.send(pending.request.id(), host.id, timeoutNanos, startWithinNanos);
  }
}
