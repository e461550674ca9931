package rushwood.policy;

import java.util.List;
import java.util.random.RandomGenerator;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.HostId;
import rushwood.api.LoadReport;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;

/**
 * The routing policy of one router. Its caller reports events with the methods of {@link
 * RoutingPolicy}, in order and from one thread. Decisions are carried out through {@link
 * PolicyActions} before a call returns. The policy has no clock: each call carries the time, and
 * timers are requested with {@link PolicyActions#wakeAt}. The same settings, random seed and calls
 * give the same decisions.
 */
public final class DefaultRoutingPolicy implements RoutingPolicy {
  /** The interval between two checks of all hosts and wait queues. */
  static final long CHECK_INTERVAL_NANOS = 100_000_000L;

  private final long clockResolutionNanos;
  private final HostTable hosts;
  private final DeadlineQueue deadlineQueue;
  private final EndpointPolicy endpointPolicy;
  private final EndpointSubscription subscription;
  private final HealthCheckPolicy healthChecks;
  private final LostAnswerDetector lostAnswers;
  private final OutlierDetector outliers;
  private final PrimaryTracker primaries;
  private final WaitQueueDispatcher dispatcher;
  private final RequestLifecycle lifecycle;
  private long nextCheckAt;

  /** Creates a policy without overload control. */
  public DefaultRoutingPolicy(
      RoutingSettings settings, RandomGenerator random, PolicyActions actions) {
    this(settings, random, actions, OverloadSignals.withoutOverloadControl(settings));
  }

  /** Creates a policy that follows the retry budgets and Retry-After times of overload control. */
  public DefaultRoutingPolicy(
      RoutingSettings settings,
      RandomGenerator random,
      PolicyActions actions,
      OverloadSignals overloadSignals) {
    clockResolutionNanos = settings.clockResolutionNanos();
    PolicyComponents components = new PolicyComponents(settings, random, actions, overloadSignals);
    hosts = components.hosts;
    deadlineQueue = components.deadlineQueue;
    endpointPolicy = components.endpointPolicy;
    subscription = components.subscription;
    healthChecks = components.healthChecks;
    lostAnswers = components.lostAnswers;
    outliers = components.outliers;
    primaries = components.primaries;
    dispatcher = components.dispatcher;
    lifecycle = components.lifecycle;
  }

  @Override
  public void endpointsReplaced(long now, List<Endpoint> endpoints, boolean fromCache) {
    endpointPolicy.listReplaced(endpoints);
    endpointsUpdated(now, endpoints);
    if (fromCache) {
      // The router has just started: the periodic checks and the subscription begin.
      nextCheckAt = now;
      deadlineQueue.requestTimer(now + clockResolutionNanos);
      subscription.start();
    }
  }

  @Override
  public void endpointsUpdated(long now, List<Endpoint> changes) {
    subscription.updateReceived();
    changes.forEach(endpointPolicy::endpointListed);
    hosts.groups().forEach(group -> dispatcher.dispatch(group, now));
  }

  @Override
  public void endpointRefreshFailed(long now) {
    subscription.refreshFailed(now);
  }

  @Override
  public void requestReceived(long now, Request request) {
    healthChecks.requestReceived();
    lifecycle.requestReceived(request, hosts.group(request.group()), now);
  }

  /**
   * {@inheritDoc}
   *
   * @throws IllegalArgumentException if this router has no such attempt
   */
  @Override
  public void attemptFinished(long now, AttemptResult result) {
    lifecycle.attemptFinished(result, now);
  }

  @Override
  public void clientDisconnected(long now, RequestId request) {
    lifecycle.clientDisconnected(request);
  }

  @Override
  public void shuttingDown(long now, long lastAnswerTime) {
    lifecycle.shuttingDown(lastAnswerTime);
  }

  /**
   * {@inheritDoc} A missing answer proves nothing: hosts reject health checks when many routers
   * send them.
   *
   * @throws IllegalArgumentException if this router knows no such host
   */
  @Override
  public void healthCheckFinished(long now, HostId id, boolean answered, LoadReport report) {
    HostState host = hosts.host(id);
    healthChecks.healthCheckFinished(host);
    if (answered) {
      outliers.healthCheckAnswered(host, now);
    }
    primaries.reportReceived(host, report, now);
    dispatcher.dispatch(host, now);
  }

  @Override
  public void timerFired(long now) {
    lifecycle.endExpired(now);
    if (now >= nextCheckAt) {
      nextCheckAt = now + CHECK_INTERVAL_NANOS;
      lifecycle.endAllExpired(now);
      hosts.groups().forEach(group -> check(group, now));
      hosts.forgetRemoved();
    }
    subscription.retryIfDue(now);
    deadlineQueue.rearm(Math.min(nextCheckAt, subscription.retryAt()));
  }

  /**
   * Checks the hosts of a group, then its wait queues: reads may go again to hosts that they have
   * avoided, and while no primary is known, writes may search for it.
   */
  private void check(GroupState group, long now) {
    for (HostState host : group.members()) {
      SlowStart.updateWorkRate(host);
      lostAnswers.check(host, now);
      outliers.check(host, now);
      primaries.checkHealthIfPrimaryUnknown(host);
    }
    for (PendingRequest pending : group.waitingRequests()) {
      if (!pending.isWrite()) {
        pending.forgetAvoidedHosts();
      } else if (!group.hasPrimary()) {
        lifecycle.process(pending, now);
      }
    }
    dispatcher.dispatch(group, now);
  }
}
