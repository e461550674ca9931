package rushwood.dispatch;

import java.util.List;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;

/**
 * Starts the attempts that the routing policy asks for, answers the client with the first success,
 * and reports the result of each attempt to the policy.
 */
final class AttemptRunner {
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final ConnectionPool pool;
  private final WriteGate writeGate;
  private final InFlightRequests requests;

  AttemptRunner(
      EventLoopClock clock,
      TimerQueue timers,
      Counters counters,
      ConnectionPool pool,
      WriteGate writeGate,
      InFlightRequests requests) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.pool = pool;
    this.writeGate = writeGate;
    this.requests = requests;
  }

  /**
   * Starts an attempt. An attempt that cannot be sent ends at once as {@link
   * AttemptOutcome#NOT_SENT}.
   *
   * @param timeoutNanos how long to wait for the response; if not positive, nothing is sent
   * @param startWithinNanos the time from now within which the statement may be written
   */
  void start(InFlightRequest request, HostId host, long timeoutNanos, long startWithinNanos) {
    long now = clock.now();
    AttemptExchange attempt =
        new AttemptExchange(this, timers, request, host, now, timeoutNanos, startWithinNanos);
    request.addAttempt(attempt);
    counters.increment(Counter.ATTEMPTS_STARTED);
    if (timeoutNanos > 0) {
      pool.execute(attempt);
    } else {
      attempt.complete(BackendResponse.withoutRow(AttemptOutcome.NOT_SENT));
    }
  }

  /** Withholds the unwritten attempts of a request whose client has disconnected. */
  void withholdUnwritten(InFlightRequest request) {
    for (AttemptExchange attempt : List.copyOf(request.attempts())) {
      if (!attempt.isCompleted() && !attempt.isAwaitingResponse()) {
        attempt.abort(writeGate.withhold());
      }
    }
  }

  /**
   * Handles the end of an attempt: answers the client with the first success and reports the result
   * to the routing policy. Called once for each attempt; takes ownership of the response.
   */
  void attemptEnded(AttemptExchange attempt, BackendResponse response) {
    counters.increment(Counter.forAttemptOutcome(response.outcome()));
    InFlightRequest request = attempt.request();
    request.attemptEnded();
    counters.checkInvariant(request.attemptsInFlight() >= 0, "an attempt ends once");
    if (response.outcome() == AttemptOutcome.SUCCESS && !request.isAnswered()) {
      counters.increment(Counter.REQUESTS_SUCCEEDED);
      requests.markAnswered(request).sendResult(response.requireRow());
    } else {
      response.release();
    }
    requests.notifyPolicy(
        request,
        policy -> {
          long now = clock.now();
          policy.attemptFinished(now, attempt.toResult(response, now));
        });
  }
}
