package rushwood.policy;

import rushwood.api.PolicyActions;

/** Finishes requests: with a final answer, or without one if the client has disconnected. */
final class FinalAnswers {
  private final PolicyActions actions;
  private final PendingRequests requests;
  private final RetryPolicy retries;

  FinalAnswers(PolicyActions actions, PendingRequests requests, RetryPolicy retries) {
    this.actions = actions;
    this.requests = requests;
    this.retries = retries;
  }

  /** Tells the client that trying again is harmless, and how long to wait before that. */
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

  /** Finishes a request whose client has disconnected, which needs no answer. */
  void clientDisconnected(PendingRequest pending) {
    requests.finish(pending);
    requests.forgetIfDone(pending);
  }
}
