package rushwood.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.api.AttemptResult;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;

/**
 * The requests that a router has accepted: until they are finished and no attempt of theirs is in
 * flight.
 */
final class PendingRequests {
  private final Map<RequestId, PendingRequest> requests = new LinkedHashMap<>();
  private final PolicyActions actions;
  private final boolean canCancel;

  PendingRequests(PolicyActions actions, boolean canCancel) {
    this.actions = actions;
    this.canCancel = canCancel;
  }

  PendingRequest add(Request request, GroupState group, long now) {
    PendingRequest pending = new PendingRequest(request, group, now);
    requests.put(request.id(), pending);
    return pending;
  }

  /** The request of that id, or null. */
  PendingRequest get(RequestId id) {
    return requests.get(id);
  }

  Collection<PendingRequest> all() {
    return requests.values();
  }

  /**
   * The attempt that a result belongs to.
   *
   * @throws IllegalArgumentException if this router has no such attempt
   */
  Attempt attempt(AttemptResult result) {
    PendingRequest pending = requests.get(result.request());
    int number = result.attemptNumber();
    if (pending == null || number < 0 || number >= pending.attempts.size()) {
      throw new IllegalArgumentException("unknown attempt " + number + " of " + result.request());
    }
    return pending.attempts.get(number);
  }

  /** Cancels the attempt in flight, if there is one and the deployment allows it; once only. */
  void cancelAttempt(PendingRequest pending) {
    if (!canCancel || !pending.hasAttemptInFlight()) {
      return;
    }
    Attempt attempt = pending.lastAttempt();
    if (!attempt.cancelled) {
      attempt.cancelled = true;
      actions.cancel(pending.request.id(), attempt.number);
    }
  }

  /** Ends a request: it leaves its queue, and what is in flight for it is cancelled. */
  void finish(PendingRequest pending) {
    cancelAttempt(pending);
    pending.finish();
  }

  /** Forgets a finished request once nothing of it is in flight. */
  void forgetIfDone(PendingRequest pending) {
    if (pending.finished && !pending.hasAttemptInFlight()) {
      requests.remove(pending.request.id());
    }
  }
}
