package rushwood.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptResult;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;

/**
 * The requests that a router has accepted, in order of arrival. A request is kept until it is
 * finished and has no attempt in flight.
 */
final class PendingRequests {
  private final Map<RequestId, PendingRequest> requests = new LinkedHashMap<>();
  private final PolicyActions actions;
  private final boolean canCancel;

  /**
   * Creates an empty collection.
   *
   * @param canCancel whether hosts can be asked to stop an attempt
   */
  PendingRequests(PolicyActions actions, boolean canCancel) {
    this.actions = actions;
    this.canCancel = canCancel;
  }

  PendingRequest add(Request request, GroupState group, long now) {
    PendingRequest pending = new PendingRequest(request, group, now);
    requests.put(request.id(), pending);
    return pending;
  }

  /** Returns the request with the given id, or null if there is none. */
  @Nullable PendingRequest find(RequestId id) {
    return requests.get(id);
  }

  Collection<PendingRequest> all() {
    return requests.values();
  }

  /**
   * Returns the attempt to which a result belongs.
   *
   * @throws IllegalArgumentException if this router has no such attempt
   */
  Attempt attempt(AttemptResult result) {
    PendingRequest pending = requests.get(result.request());
    int number = result.attemptNumber();
    if (pending == null || number < 0 || number >= pending.attemptCount()) {
      throw new IllegalArgumentException("unknown attempt " + number + " of " + result.request());
    }
    return pending.attempt(number);
  }

  /**
   * Cancels the attempt in flight, if there is one, it was not cancelled before and hosts can be
   * asked to stop it.
   */
  void cancelAttempt(PendingRequest pending) {
    if (canCancel && pending.hasAttemptInFlight()) {
      Attempt attempt = pending.lastAttempt();
      if (attempt.markCancelled()) {
        actions.cancel(pending.request.id(), attempt.number);
      }
    }
  }

  /** Finishes a request: removes it from its wait queue and cancels its attempt in flight. */
  void finish(PendingRequest pending) {
    cancelAttempt(pending);
    pending.finish();
  }

  /** Removes the request if it is finished and has no attempt in flight. */
  void forgetIfDone(PendingRequest pending) {
    if (pending.isFinished() && !pending.hasAttemptInFlight()) {
      requests.remove(pending.request.id());
    }
  }
}
