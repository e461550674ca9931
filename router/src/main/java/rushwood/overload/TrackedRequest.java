package rushwood.overload;

import rushwood.api.AttemptOutcome;
import rushwood.api.Request;

/** A request that has not ended yet, or that has ended while attempts are still in flight. */
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

  /**
   * Marks the request as answered. Its client does not repeat it, so it no longer matters whether
   * an attempt was executed.
   */
  void markAnswered() {
    finished = true;
    mayHaveExecuted = false;
  }

  /** Marks the request as ended without an answer, so that its client may repeat it. */
  void markUnanswered() {
    finished = true;
  }

  boolean isFinished() {
    return finished;
  }

  /** Returns whether the request has ended and none of its attempts is in flight. */
  boolean isSettled() {
    return finished && attemptsInFlight <= 0;
  }

  /** Returns whether an attempt may have been or may yet be executed. */
  boolean isPossiblyExecuted() {
    return attemptsInFlight > 0 || mayHaveExecuted;
  }

  /** Returns the id that {@link AmbiguousWrites} gave the request, or {@code NO_ID}. */
  long ambiguityId() {
    return ambiguityId;
  }

  void setAmbiguityId(long id) {
    ambiguityId = id;
  }
}
