package rushwood.dispatch;

import java.util.function.BiConsumer;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;
import rushwood.api.RequestId;

/** Executes the actions that the routing policy orders. */
final class DispatcherActions implements PolicyActions {
  private final Counters counters;
  private final InFlightRequests requests;
  private final AttemptRunner attempts;
  private final HealthCheckRunner healthChecks;
  private final PolicyTimer policyTimer;
  private final BiConsumer<LogLevel, String> logger;

  /**
   * Creates the actions of one policy.
   *
   * @param logger receives the policy's log lines
   */
  DispatcherActions(
      Counters counters,
      InFlightRequests requests,
      AttemptRunner attempts,
      HealthCheckRunner healthChecks,
      PolicyTimer policyTimer,
      BiConsumer<LogLevel, String> logger) {
    this.counters = counters;
    this.requests = requests;
    this.attempts = attempts;
    this.healthChecks = healthChecks;
    this.policyTimer = policyTimer;
    this.logger = logger;
  }

  @Override
  public void send(RequestId id, HostId host, long timeoutNanos, long startWithinNanos) {
    InFlightRequest request = requests.findUnanswered(id);
    counters.checkInvariant(request != null, "the request of a new attempt is unanswered");
    if (request != null) {
      attempts.start(request, host, timeoutNanos, startWithinNanos);
    }
  }

  @Override
  public void cancel(RequestId id, int attemptNumber) {
    InFlightRequest request = requests.find(id);
    if (request != null) {
      request.attempts().get(attemptNumber).stop(AttemptOutcome.CANCELLED);
    }
  }

  @Override
  public void reject(RequestId id, long retryAfterNanos) {
    InFlightRequest request = requests.findUnanswered(id);
    if (request != null) {
      counters.increment(Counter.REQUESTS_REJECTED);
      finish(request).sendRejection(retryAfterNanos);
    }
  }

  @Override
  public void fail(RequestId id) {
    InFlightRequest request = requests.findUnanswered(id);
    if (request != null) {
      counters.increment(Counter.REQUESTS_FAILED);
      finish(request).sendFailure();
    }
  }

  private ClientResponder finish(InFlightRequest request) {
    ClientResponder responder = requests.markAnswered(request);
    requests.removeIfFinished(request);
    return responder;
  }

  @Override
  public void checkHealth(HostId host) {
    healthChecks.start(host);
  }

  @Override
  public void wakeAt(long time) {
    policyTimer.wakeAt(time);
  }

  /** Does nothing: a router follows the endpoint list from its start, without being asked. */
  @Override
  public void subscribeToEndpoints() {}

  @Override
  public void log(LogLevel level, String line) {
    logger.accept(level, line);
  }
}
