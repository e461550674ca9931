package rushwood.overload;

import java.util.List;
import java.util.function.BiFunction;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.LoadReport;
import rushwood.api.LogLevel;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;

/**
 * Decorates the routing policy of a router: observes its events and actions, detects overload in
 * them, and gives the policy the {@link OverloadSignals} that it asks for.
 *
 * <p>Every event is passed on to the policy and every action to the dispatcher, in order and
 * unchanged, but for two: a request that returns after a Retry-After carries that wait; and where
 * the operator wants it, a write is failed instead of passed on while an earlier one of the same
 * fingerprint may still be executed.
 */
public final class OverloadController implements RoutingPolicy, OverloadSignals {
  // 128 KiB in all; at 5,000 unanswered requests a span 0.7% of the others pass for repeats.
  private static final int SKETCH_CELLS_PER_ROW = 1 << 14;

  private final RoutingSettings settings;
  private final OverloadSettings overloadSettings;
  private final ConnectBackoff connectBackoff;
  private final PolicyActions actions;
  private final OverloadSignals defaultSignals;
  private final OverloadCounts counts = new OverloadCounts();
  private final OverloadStatistics statistics;
  private final RetryAfterAdvisor retryAfterAdvisor;
  private final RepeatSketch unansweredSketch;
  private final AmbiguousWrites ambiguousWrites;
  private final TrackedRequests trackedRequests = new TrackedRequests();
  private final RoutingPolicy policy;
  private long nextTickAt = Long.MIN_VALUE;
  private long lastEventAt;

  /**
   * Creates the controller and the policy behind it.
   *
   * @param settings the settings of the routing policy
   * @param overloadSettings the operator's settings of this module
   * @param connectBackoff shared with the connection pool, which records the attempts
   * @param actions carries out what the policy decides
   * @param policyFactory creates the policy, from the signals it may ask and the actions it may use
   */
  public OverloadController(
      RoutingSettings settings,
      OverloadSettings overloadSettings,
      ConnectBackoff connectBackoff,
      PolicyActions actions,
      BiFunction<OverloadSignals, PolicyActions, RoutingPolicy> policyFactory) {
    this.settings = settings;
    this.overloadSettings = overloadSettings;
    this.connectBackoff = connectBackoff;
    this.actions = actions;
    defaultSignals = OverloadSignals.withoutOverloadControl(settings);
    statistics = new OverloadStatistics(overloadSettings, counts, actions::log);
    retryAfterAdvisor =
        new RetryAfterAdvisor(settings, counts, overloadSettings.retryAfterSchedule());
    unansweredSketch = new RepeatSketch(SKETCH_CELLS_PER_ROW, longestRepeatDelay(settings));
    ambiguousWrites = new AmbiguousWrites(overloadSettings.failAmbiguousWrites());
    policy = policyFactory.apply(this, new ObservedActions());
  }

  /** How long after the end of a request without an answer its client may repeat it. */
  private static long longestRepeatDelay(RoutingSettings settings) {
    long longest =
        settings.requestClasses().stream()
            .mapToLong(each -> 2 * each.latencyObjectiveNanos())
            .max()
            .orElse(1);
    return longest + settings.maxRetryAfterNanos();
  }

  /** The state of the whole router. */
  OverloadState state() {
    return statistics.routerState();
  }

  /** The state of a group; normal if the endpoint list does not name it. */
  OverloadState state(GroupId group) {
    return statistics.groupState(group);
  }

  /** Counts since the start; they go on counting. */
  public OverloadCounts counts() {
    return counts;
  }

  int trackedRequestCount() {
    return trackedRequests.size();
  }

  // Events for the routing policy.

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
    tickIfDue(now);
    // The sketch also takes requests of other clients with the same fingerprint for repeats, so
    // only as many count as repeats as requests of the group ended without an answer.
    boolean mayBeRepeat = wasUnanswered(now, request);
    long advisedWait =
        mayBeRepeat ? retryAfterAdvisor.takeAdvisedWait(request.fingerprint(), now) : 0;
    boolean isRepeat = mayBeRepeat && statistics.takeUnanswered(request.group());
    if (isRepeat) {
      counts.addRepeatedRequest();
    }
    statistics.recordArrival(request.group(), isRepeat);
    if (ambiguousWrites.hasEarlierWrite(now, request)) {
      counts.addAmbiguousWriteFailed();
      actions.fail(request.id());
      return;
    }
    trackedRequests.add(request);
    policy.requestReceived(now, advisedWait > 0 ? request.afterWaiting(advisedWait) : request);
  }

  private boolean wasUnanswered(long now, Request request) {
    return request.hasFingerprint() && unansweredSketch.count(request.fingerprint(), now) > 0;
  }

  @Override
  public void attemptFinished(long now, AttemptResult result) {
    tickIfDue(now);
    statistics.recordOutcome(result);
    TrackedRequest tracked = trackedRequests.get(result.request());
    if (tracked != null) {
      tracked.attemptFinished(result.outcome());
      if (result.requestFinished() && !tracked.isFinished()) {
        trackedRequests.succeed(tracked);
      }
      releaseIfSettled(now, tracked);
    }
    policy.attemptFinished(now, result);
  }

  @Override
  public void clientDisconnected(long now, RequestId requestId) {
    tickIfDue(now);
    recordUnanswered(now, requestId);
    policy.clientDisconnected(now, requestId);
  }

  @Override
  public void shuttingDown(long now, long deadline) {
    policy.shuttingDown(now, deadline);
  }

  @Override
  public void healthCheckFinished(long now, HostId host, boolean answered, LoadReport report) {
    policy.healthCheckFinished(now, host, answered, report);
  }

  @Override
  public void timerFired(long now) {
    tickIfDue(now);
    policy.timerFired(now);
  }

  private void tickIfDue(long now) {
    lastEventAt = now;
    if (now < nextTickAt) {
      return;
    }
    nextTickAt = now + OverloadDetector.TICK_NANOS;
    trackedRequests.removeOverdue(now);
    statistics.tick();
    retryAfterAdvisor.setExpectedRate(statistics.expectedRate());
  }

  /** A request ends without an answer, unless it has ended already: its client may repeat it. */
  private void recordUnanswered(long now, RequestId requestId) {
    TrackedRequest tracked = trackedRequests.get(requestId);
    if (tracked == null || tracked.isFinished()) {
      return;
    }
    trackedRequests.endUnanswered(tracked);
    Request request = tracked.request();
    if (request.hasFingerprint()) {
      unansweredSketch.add(request.fingerprint(), now);
      statistics.recordUnanswered(request.group());
      if (tracked.isPossiblyExecuted()) {
        ambiguousWrites.add(now, tracked);
      }
    }
    releaseIfSettled(now, tracked);
  }

  private void releaseIfSettled(long now, TrackedRequest tracked) {
    if (!tracked.isSettled()) {
      return;
    }
    trackedRequests.remove(tracked);
    if (!tracked.isPossiblyExecuted()) {
      ambiguousWrites.resolve(now, tracked);
    }
  }

  // Signals that the routing policy asks for.

  @Override
  public long retryAfterNanos(long now, Request request, boolean othersWaiting) {
    statistics.recordRejected(request.group());
    if (!overloadSettings.retryAfterSchedule()) {
      return defaultSignals.retryAfterNanos(now, request, othersWaiting);
    }
    boolean isNormal = state(request.group()) == OverloadState.NORMAL;
    if (!settings.canSendRetryAfter() || (!othersWaiting && isNormal)) {
      return 0;
    }
    return retryAfterAdvisor.reserve(now, request, trackedRequests.waiting());
  }

  /**
   * The wait in nanoseconds to tell a client whose connection is refused, 0 for none. No request is
   * known yet, so the reservation belongs to no group.
   */
  public long retryAfterForRefusedConnection(long now) {
    if (!settings.canSendRetryAfter()) {
      return 0;
    }
    return overloadSettings.retryAfterSchedule()
        ? retryAfterAdvisor.reserveForConnection(now, trackedRequests.waiting())
        : settings.maxRetryAfterNanos();
  }

  @Override
  public boolean canRetry(long now, GroupId group) {
    boolean allowed = statistics.isRetryAllowed(now, group);
    if (!allowed) {
      counts.addRetryDenied();
    }
    return allowed;
  }

  @Override
  public void attemptSent(long now, GroupId group, boolean retry) {
    statistics.recordAttempt(now, group, retry);
  }

  @Override
  public boolean canConnect(long now, HostId host) {
    return connectBackoff.isAttemptAllowed(host, now);
  }

  /** Passes the policy's actions on, and records attempts and requests that end unanswered. */
  private final class ObservedActions implements PolicyActions {
    @Override
    public void send(RequestId requestId, HostId host, long timeoutNanos, long startWithinNanos) {
      TrackedRequest tracked = trackedRequests.get(requestId);
      if (tracked != null) {
        tracked.attemptSent();
      }
      actions.send(requestId, host, timeoutNanos, startWithinNanos);
    }

    @Override
    public void cancel(RequestId requestId, int attemptNumber) {
      actions.cancel(requestId, attemptNumber);
    }

    @Override
    public void reject(RequestId requestId, long retryAfterNanos) {
      recordUnanswered(lastEventAt, requestId);
      actions.reject(requestId, retryAfterNanos);
    }

    @Override
    public void fail(RequestId requestId) {
      recordUnanswered(lastEventAt, requestId);
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
}
