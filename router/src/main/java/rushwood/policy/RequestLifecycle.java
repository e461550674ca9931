package rushwood.policy;

import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;

/**
 * Carries each request from its arrival to its final answer: through the wait queue, attempts and
 * their results, in the order that the components need. What happens at each step they decide.
 */
final class RequestLifecycle {
  private final PolicyActions actions;
  private final OverloadSignals overloadSignals;
  private final PolicyComponents components;
  private final PendingRequests requests;
  private final DeadlineQueue deadlineQueue;

  RequestLifecycle(
      PolicyActions actions, OverloadSignals overloadSignals, PolicyComponents components) {
    this.actions = actions;
    this.overloadSignals = overloadSignals;
    this.components = components;
    requests = components.requests;
    deadlineQueue = components.deadlineQueue;
  }

  void requestReceived(Request request, long now) {
    GroupState group = components.hosts.group(request.group());
    PendingRequest pending = requests.add(request, group, now);
    components.healthChecks.requestReceived();
    addDeadline(pending);
    process(pending, now);
  }

  private void addDeadline(PendingRequest pending) {
    deadlineQueue.add(components.deadlines.answerDeadline(pending), pending);
  }

  /** Sends the request to a host if one can take it, else lets it wait, or ends it. */
  void process(PendingRequest pending, long now) {
    if (isExpired(pending, now) || !components.retries.canAttempt(pending, now)) {
      rejectOrFail(pending, now);
      return;
    }
    components.freshness.updateRequiredPosition(pending, now);
    HostState host =
        pending.isWrite()
            ? components.primaries.selectForWrite(pending, now)
            : components.replicas.selectForRead(pending, now);
    if (host == null) {
      pending.enqueue();
    } else {
      send(pending, host, now);
    }
  }

  private boolean isExpired(PendingRequest pending, long now) {
    return components.deadlines.isExpired(pending, now);
  }

  private void send(PendingRequest pending, HostState host, long now) {
    pending.dequeue();
    components.healthChecks.attemptSent(host, now);
    boolean isCostlyRetry = pending.isRetryCostly();
    overloadSignals.attemptSent(now, pending.request.group(), isCostlyRetry);
    long timeoutNanos = components.deadlines.attemptTimeoutNanos(pending, now);
    long startWithinNanos = Math.min(timeoutNanos, RetryPolicy.retryDeadline(pending) - now);
    boolean isControl = components.lostAnswers.drawControlSample();
    Attempt attempt = pending.startAttempt(host, now, isControl);
    host.inFlight.add(attempt);
    components.slowStart.attemptSent(attempt);
    actions.send(pending.request.id(), host.id, timeoutNanos, startWithinNanos);
  }

  /** Gives the free slots of all members, in order of id, to waiting requests. */
  void dispatchWaiting(GroupState group, long now) {
    group.members().forEach(host -> dispatchWaiting(host, now));
  }

  /** Gives a host's free slots to waiting requests, first attempts before retries. */
  void dispatchWaiting(HostState host, long now) {
    if (host.hasGroup()) {
      dispatch(host.group().firstAttempts, host, now);
      dispatch(host.group().retries, host, now);
    }
  }

  private void dispatch(WaitQueue queue, HostState host, long now) {
    PendingRequest next = components.queue.next(queue, host, now);
    while (next != null) {
      send(next, host, now);
      next = components.queue.next(queue, host, now);
    }
  }

  /**
   * Takes in the result of an attempt. While the components learn from it the attempt still counts
   * as in flight; after that its slot and its request go on.
   *
   * @throws IllegalArgumentException if this router has no such attempt
   */
  void attemptFinished(AttemptResult result, long now) {
    Attempt attempt = requests.attempt(result);
    PendingRequest pending = attempt.pending;
    if (result.outcome() == AttemptOutcome.SUCCESS) {
      components.serviceTimes.record(pending, result.durationNanos());
      components.slowStart.answerReceived(attempt);
      components.lostAnswers.answerReceived(attempt, now);
    }
    components.limiter.attemptFinished(attempt, result, now);
    components.outliers.attemptFinished(attempt, result, now);
    attempt.host.inFlight.remove(attempt);
    pending.group.endPrimaryDiscovery(pending);
    components.freshness.attemptFinished(attempt, result, now);
    components.primaries.attemptFinished(attempt, result, now);
    RetryPolicy.attemptFinished(attempt, result.outcome());
    if (result.requestFinished() && !pending.isFinished()) {
      pending.finish();
    }
    dispatchWaiting(attempt.host, now);
    if (!pending.isFinished() && !pending.isQueued() && !pending.hasAttemptInFlight()) {
      process(pending, now);
    }
    requests.forgetIfDone(pending);
  }

  /** Ends a request whose client is gone: no answer is owed. */
  void clientDisconnected(RequestId request) {
    PendingRequest pending = requests.find(request);
    if (pending != null && !pending.isFinished()) {
      requests.finish(pending);
      requests.forgetIfDone(pending);
    }
  }

  /** Gives the final answer. */
  private void rejectOrFail(PendingRequest pending, long now) {
    requests.finish(pending);
    if (RetryPolicy.isRepeatable(pending)) {
      actions.reject(pending.request.id(), components.retries.retryAfter(pending, now));
    } else {
      actions.fail(pending.request.id());
    }
    requests.forgetIfDone(pending);
  }

  /** Every request is answered before that time. */
  void shuttingDown(long deadline) {
    components.deadlines.shutDownAt(deadline);
    requests.all().forEach(this::addDeadline);
  }

  /**
   * Ends requests whose deadline has come. Where a request's answer deadline has moved since it was
   * queued, as it does with the first attempt, the request is queued anew.
   */
  void endExpired(long now) {
    PendingRequest pending = deadlineQueue.pollExpired(now);
    while (pending != null) {
      if (isExpired(pending, now)) {
        rejectOrFail(pending, now);
      } else {
        addDeadline(pending);
      }
      pending = deadlineQueue.pollExpired(now);
    }
  }
}
