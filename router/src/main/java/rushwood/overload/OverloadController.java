package rushwood.overload;

import java.util.List;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.LoadReport;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.api.Times;

/**
 * Decorates the routing policy of a router: observes its events and actions, detects overload from
 * them, and provides the {@link OverloadSignals} that the policy asks for.
 *
 * <p>Every event is passed on to the policy and every action to the dispatcher, in order and
 * unchanged, with two exceptions: a request that returns after a Retry-After is passed on with the
 * time that it waited; and if the operator enables it, a write is failed instead of passed on while
 * an earlier one of the same fingerprint is {@linkplain AmbiguousWrites ambiguous}.
 */
public final class OverloadController implements RoutingPolicy {
  private final RoutingSettings settings;
  private final ConnectBackoff connectBackoff;
  private final PolicyActions actions;
  private final OverloadCounts counts = new OverloadCounts();
  private final OverloadStatistics statistics;
  private final RepeatDetector repeatDetector;
  private final AmbiguousWrites ambiguousWrites;
  private final RequestTracker requestTracker;
  private final RetryAfterAdvisor retryAfterAdvisor;
  private final OverloadSignals signals;
  private final TrackingPolicyActions trackingActions;
  private final RoutingPolicy policy;
  private long nextTickAt = Times.LONG_AGO;

  /**
   * Creates the controller and the policy that it decorates.
   *
   * @param settings the settings of the routing policy
   * @param overloadSettings the operator's settings of overload control
   * @param connectBackoff shared with the connection pool, which records connection attempts in it
   * @param answerDelayNanos see {@link OverloadSignals#answerDelayNanos}
   * @param actions carries out what the policy decides
   * @param policyFactory creates the policy from the signals and the actions that it may use
   */
  public OverloadController(
      RoutingSettings settings,
      OverloadSettings overloadSettings,
      ConnectBackoff connectBackoff,
      LongSupplier answerDelayNanos,
      PolicyActions actions,
      BiFunction<OverloadSignals, PolicyActions, RoutingPolicy> policyFactory) {
    this.settings = settings;
    this.connectBackoff = connectBackoff;
    this.actions = actions;
    statistics = new OverloadStatistics(overloadSettings, counts, actions::log);
    repeatDetector = new RepeatDetector(settings, statistics, counts);
    ambiguousWrites = new AmbiguousWrites(overloadSettings.failAmbiguousWrites());
    requestTracker = new RequestTracker(repeatDetector, ambiguousWrites);
    retryAfterAdvisor =
        new RetryAfterAdvisor(
            settings, overloadSettings.retryAfterSchedule(), statistics, requestTracker, counts);
    signals =
        new OverloadControlSignals(
            statistics, retryAfterAdvisor, connectBackoff, counts, answerDelayNanos);
    trackingActions = new TrackingPolicyActions(actions, requestTracker);
    policy = policyFactory.apply(signals, trackingActions);
  }

  /** Returns the live counts of detections and decisions since the start. */
  public OverloadCounts counts() {
    return counts;
  }

  /**
   * Returns the Retry-After in nanoseconds for a client whose connection is refused, 0 for none.
   * Its request is not known yet, so a reservation belongs to no group.
   */
  public long retryAfterForRefusedConnection(long now) {
    return retryAfterAdvisor.adviseRefusedConnection(now);
  }

  /** Returns the signals that were passed to the policy. */
  OverloadSignals signals() {
    return signals;
  }

  /** Returns the state of the whole router. */
  OverloadState state() {
    return statistics.routerState();
  }

  /** Returns the state of a group, normal if the group has no host in the endpoint list. */
  OverloadState state(GroupId group) {
    return statistics.groupState(group);
  }

  int trackedRequestCount() {
    return requestTracker.size();
  }

  @Override
  public void endpointsReplaced(long now, List<Endpoint> endpoints, boolean fromCache) {
    if (settings.isRemovalBinding()) {
      statistics.hostsMissingFrom(endpoints).forEach(this::removeHost);
    }
    endpoints.forEach(statistics::addHost);
    policy.endpointsReplaced(now, endpoints, fromCache);
  }

  @Override
  public void endpointsUpdated(long now, List<Endpoint> changes) {
    for (Endpoint endpoint : changes) {
      if (endpoint.state() == Endpoint.State.REMOVED && settings.isRemovalBinding()) {
        removeHost(endpoint.id());
      } else {
        statistics.addHost(endpoint);
      }
    }
    policy.endpointsUpdated(now, changes);
  }

  private void removeHost(HostId host) {
    statistics.removeHost(host);
    connectBackoff.forget(host);
  }

  @Override
  public void endpointRefreshFailed(long now) {
    policy.endpointRefreshFailed(now);
  }

  @Override
  public void requestReceived(long now, Request request) {
    startEvent(now);
    boolean isPossibleRepeat = repeatDetector.isPossibleRepeat(now, request);
    long advisedWaitNanos =
        isPossibleRepeat ? retryAfterAdvisor.takeAdvisedWait(request.fingerprint(), now) : 0;
    boolean isRepeat = isPossibleRepeat && repeatDetector.confirmRepeat(request);
    statistics.recordArrival(request.group(), isRepeat);
    if (ambiguousWrites.hasEarlierAmbiguousWrite(now, request)) {
      counts.addAmbiguousWriteFailed();
      actions.fail(request.id());
      return;
    }
    requestTracker.requestReceived(request);
    policy.requestReceived(
        now, advisedWaitNanos > 0 ? request.withWaited(advisedWaitNanos) : request);
  }

  @Override
  public void attemptFinished(long now, AttemptResult result) {
    startEvent(now);
    statistics.recordOutcome(result);
    requestTracker.attemptFinished(now, result);
    policy.attemptFinished(now, result);
  }

  @Override
  public void clientDisconnected(long now, RequestId requestId) {
    startEvent(now);
    requestTracker.requestUnanswered(now, requestId);
    policy.clientDisconnected(now, requestId);
  }

  @Override
  public void shuttingDown(long now, long lastAnswerTime) {
    policy.shuttingDown(now, lastAnswerTime);
  }

  @Override
  public void healthCheckFinished(long now, HostId host, boolean answered, LoadReport report) {
    policy.healthCheckFinished(now, host, answered, report);
  }

  @Override
  public void timerFired(long now) {
    startEvent(now);
    policy.timerFired(now);
  }

  /** Sets the time of an event for the policy's actions, and ends a tick if one is due. */
  private void startEvent(long now) {
    trackingActions.eventStarted(now);
    if (now < nextTickAt) {
      return;
    }
    nextTickAt = now + OverloadDetector.TICK_NANOS;
    requestTracker.removeOverdue(now);
    statistics.tick();
    retryAfterAdvisor.updateExpectedRate();
  }
}
