package rushwood.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.api.RequestId;

/** A request that still waits for its final response or for an attempt to end. */
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

  /** All attempts so far, in the order of their numbers. */
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

  /** Whether the client has its final response, or waits for none any more. */
  boolean isAnswered() {
    return responder == null;
  }

  boolean isFinished() {
    return isAnswered() && attemptsInFlight == 0;
  }

  /**
   * Marks the request as answered and returns what sends the final response.
   *
   * @throws NullPointerException if it was answered before
   */
  ClientResponder takeResponder() {
    ClientResponder taken = Objects.requireNonNull(responder, "a request is answered once");
    responder = null;
    return taken;
  }
}
