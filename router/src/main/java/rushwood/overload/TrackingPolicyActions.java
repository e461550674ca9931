package rushwood.overload;

import rushwood.api.HostId;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;
import rushwood.api.RequestId;

/**
 * Passes the actions of the policy on unchanged, and reports attempts and requests that end without
 * an answer to the {@link RequestTracker}.
 */
final class TrackingPolicyActions implements PolicyActions {
  private final PolicyActions actions;
  private final RequestTracker requestTracker;
  private long eventTime;

  TrackingPolicyActions(PolicyActions actions, RequestTracker requestTracker) {
    this.actions = actions;
    this.requestTracker = requestTracker;
  }

  /**
   * Sets the clock time in nanoseconds at which requests count as ended if they end without an
   * answer before the next call.
   */
  void eventStarted(long now) {
    eventTime = now;
  }

  @Override
  public void send(RequestId requestId, HostId host, long timeoutNanos, long startWithinNanos) {
    requestTracker.attemptSent(requestId);
    actions.send(requestId, host, timeoutNanos, startWithinNanos);
  }

  @Override
  public void cancel(RequestId requestId, int attemptNumber) {
    actions.cancel(requestId, attemptNumber);
  }

  @Override
  public void reject(RequestId requestId, long retryAfterNanos) {
    requestTracker.requestUnanswered(eventTime, requestId);
    actions.reject(requestId, retryAfterNanos);
  }

  @Override
  public void fail(RequestId requestId) {
    requestTracker.requestUnanswered(eventTime, requestId);
    actions.fail(requestId);
  }

  @Override
  public void checkHealth(HostId host) {
    actions.checkHealth(host);
  }

  @Override
  public void wakeAt(long time) {
    actions.wakeAt(time);
  }

  @Override
  public void subscribeToEndpoints() {
    actions.subscribeToEndpoints();
  }

  @Override
  public void log(LogLevel level, String line) {
    actions.log(level, line);
  }
}
