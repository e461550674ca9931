package rushwood.policy;

import rushwood.api.PolicyActions;

/** Ends requests: with a final answer, or without one where none is owed. */
final class FinalAnswers {
  private final PolicyActions actions;
  private final PendingRequests requests;
  private final RetryPolicy retries;

  FinalAnswers(PolicyActions actions, PendingRequests requests, RetryPolicy retries) {
    this.actions = actions;
    this.requests = requests;
    this.retries = retries;
  }

  /** Tells the client that trying again is harmless, and when to do so. */
  void reject(PendingRequest pending, long now) {
    requests.finish(pending);
    actions.reject(pending.request.id(), retries.retryAfterNanos(pending, now));
    requests.forgetIfDone(pending);
  }

  /** Tells the client that the request may have run. */
  void fail(PendingRequest pending) {
    requests.finish(pending);
    actions.fail(pending.request.id());
    requests.forgetIfDone(pending);
  }

  /** The client is gone: no answer is owed. */
  void clientDisconnected(PendingRequest pending) {
    requests.finish(pending);
    requests.forgetIfDone(pending);
  }
}
