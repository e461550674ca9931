package rushwood.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.api.RequestId;

/** A request that has no final response yet, or has an attempt in flight. */
final class InFlightRequest {
  private final RequestId id;
  private final Statement statement;
  private final List<AttemptExchange> attempts = new ArrayList<>();
  private @Nullable ClientResponder responder;
  private int attemptsInFlight;

  InFlightRequest(RequestId id, Statement statement, ClientResponder responder) {
    this.id = id;
    this.statement = statement;
    this.responder = responder;
  }

  RequestId id() {
    return id;
  }

  Statement statement() {
    return statement;
  }

  /** Returns all attempts so far, ended ones included, indexed by attempt number. */
  List<AttemptExchange> attempts() {
    return attempts;
  }

  int attemptCount() {
    return attempts.size();
  }

  int attemptsInFlight() {
    return attemptsInFlight;
  }

  void addAttempt(AttemptExchange attempt) {
    attempts.add(attempt);
    attemptsInFlight++;
  }

  void attemptEnded() {
    attemptsInFlight--;
  }

  /**
   * Returns whether the final response was sent, or is not needed because the client disconnected
   * or cancelled the request.
   */
  boolean isAnswered() {
    return responder == null;
  }

  /** Returns whether the request is answered and has no attempt in flight. */
  boolean isFinished() {
    return isAnswered() && attemptsInFlight == 0;
  }

  /**
   * Marks the request as answered and returns the responder for its final response.
   *
   * @throws NullPointerException if the request is answered already
   */
  ClientResponder takeResponder() {
    ClientResponder taken = Objects.requireNonNull(responder, "request is answered already");
    responder = null;
    return taken;
  }
}
