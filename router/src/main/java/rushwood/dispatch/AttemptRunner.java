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
   * Starts an attempt; one that cannot be sent ends at once.
   *
   * @param timeoutNanos how long the response is waited for
   * @param startWithinNanos within which time the statement may be written
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

  /** Withholds the attempts of a request that have not been written: its client has left. */
  void withholdUnwritten(InFlightRequest request) {
    for (AttemptExchange attempt : List.copyOf(request.attempts())) {
      if (!attempt.isCompleted() && !attempt.isAwaitingResponse()) {
        attempt.abort(writeGate.withhold());
      }
    }
  }

  /** Called once for each attempt. */
  void attemptEnded(AttemptExchange attempt, BackendResponse response) {
    counters.increment(Counter.ofAttempts(response.outcome()));
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
