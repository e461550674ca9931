package rushwood.policy;

import rushwood.api.AttemptResult;
import rushwood.api.Request;
import rushwood.api.RequestId;

/**
 * Takes each request from its arrival through wait queue and attempts to its final answer, as
 * {@link RequestDecider} decides.
 */
final class RequestLifecycle {
  private final PendingRequests requests;
  private final RequestExpiry expiry;
  private final RequestDecider decider;
  private final AttemptSender sender;
  private final AttemptResultRecorder resultRecorder;
  private final WaitQueueDispatcher dispatcher;
  private final FinalAnswers finalAnswers;

  RequestLifecycle(
      PendingRequests requests,
      RequestExpiry expiry,
      RequestDecider decider,
      AttemptSender sender,
      AttemptResultRecorder resultRecorder,
      WaitQueueDispatcher dispatcher,
      FinalAnswers finalAnswers) {
    this.requests = requests;
    this.expiry = expiry;
    this.decider = decider;
    this.sender = sender;
    this.resultRecorder = resultRecorder;
    this.dispatcher = dispatcher;
    this.finalAnswers = finalAnswers;
  }

  void requestReceived(Request request, GroupState group, long now) {
    PendingRequest pending = requests.add(request, group, now);
    expiry.add(pending);
    process(pending, now);
  }

  /** Decides what to do with a request that has no attempt in flight, and does it. */
  void process(PendingRequest pending, long now) {
    carryOut(decider.decide(pending, now), pending, now);
  }

  private void carryOut(Decision decision, PendingRequest pending, long now) {
    if (decision instanceof Decision.Send send) {
      sender.send(pending, send.host(), now);
    } else if (decision instanceof Decision.Wait) {
      pending.enqueue();
    } else if (decision instanceof Decision.Reject) {
      finalAnswers.reject(pending, now);
    } else if (decision instanceof Decision.Fail) {
      finalAnswers.fail(pending);
    }
  }

  /**
   * Records the result of an attempt, gives the freed slot to waiting requests and, if the request
   * is not finished, decides what to do with it next.
   *
   * @throws IllegalArgumentException if this router has no such attempt
   */
  void attemptFinished(AttemptResult result, long now) {
    Attempt attempt = requests.attempt(result);
    PendingRequest pending = attempt.pending;
    resultRecorder.record(attempt, result, now);
    if (result.requestFinished() && !pending.isFinished()) {
      pending.finish();
    }
    dispatcher.dispatch(attempt.host, now);
    if (!pending.isFinished() && !pending.isQueued() && !pending.hasAttemptInFlight()) {
      process(pending, now);
    }
    requests.forgetIfDone(pending);
  }

  /**
   * Finishes a request whose client has disconnected, which needs no answer. Unknown ids are
   * ignored.
   */
  void clientDisconnected(RequestId request) {
    PendingRequest pending = requests.find(request);
    if (pending != null && !pending.isFinished()) {
      finalAnswers.clientDisconnected(pending);
    }
  }

  /** Requires that every request is answered before the given time. */
  void shuttingDown(long lastAnswerTime) {
    expiry.shuttingDown(lastAnswerTime);
  }

  /** Ends the requests whose answer deadline has been reached. */
  void endExpired(long now) {
    PendingRequest pending = expiry.pollExpired(now);
    while (pending != null) {
      endExpired(pending, now);
      pending = expiry.pollExpired(now);
    }
  }

  private void endExpired(PendingRequest pending, long now) {
    carryOut(RequestDecider.end(pending, EndReason.EXPIRED), pending, now);
  }

  /**
   * Does the same as {@link #endExpired(long)}, also for requests whose answer deadline has become
   * earlier. Scans all requests.
   */
  void endAllExpired(long now) {
    expiry.findAllExpired(now).forEach(pending -> endExpired(pending, now));
  }
}
