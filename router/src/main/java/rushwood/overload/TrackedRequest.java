package rushwood.overload;

import rushwood.api.AttemptOutcome;
import rushwood.api.Request;

/** A request without a final answer, or with one while attempts are still in flight. */
final class TrackedRequest {
  private final Request request;
  private int attemptsInFlight;
  private boolean mayHaveExecuted;
  private boolean finished;
  private long ambiguityId = AmbiguousWrites.NO_ID;

  TrackedRequest(Request request) {
    this.request = request;
  }

  Request request() {
    return request;
  }

  void attemptSent() {
    attemptsInFlight++;
  }

  void attemptFinished(AttemptOutcome outcome) {
    attemptsInFlight--;
    mayHaveExecuted |= !outcome.provesNotExecuted();
  }

  /** The request was answered: its client does not repeat it, whatever attempts may have done. */
  void markAnswered() {
    finished = true;
    mayHaveExecuted = false;
  }

  /** The request ends without an answer: its client may repeat it. */
  void markUnanswered() {
    finished = true;
  }

  boolean isFinished() {
    return finished;
  }

  /** Whether the request is finished and no attempt is in flight any more. */
  boolean isSettled() {
    return finished && attemptsInFlight <= 0;
  }

  /** Whether an attempt may have been executed, or may still be. */
  boolean isPossiblyExecuted() {
    return attemptsInFlight > 0 || mayHaveExecuted;
  }

  /** The id under which {@link AmbiguousWrites} holds the request, or {@code NO_ID}. */
  long ambiguityId() {
    return ambiguityId;
  }

  void setAmbiguityId(long id) {
    ambiguityId = id;
  }
}
