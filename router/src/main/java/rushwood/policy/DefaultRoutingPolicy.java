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
 * The routing policy of one router. A caller creates it with the settings, a random generator and
 * its {@link PolicyActions}, then calls the methods of {@link RoutingPolicy} (rushwood/api/
 * RoutingPolicy.java, which defines the interface) in the order of events, from one thread. What is
 * decided is carried out through the actions before a call returns. The policy has no clock: each
 * call carries the time, and timers are asked for with {@link PolicyActions#wakeAt}. The same
 * settings, seed and calls give the same decisions.
 */
public final class DefaultRoutingPolicy implements RoutingPolicy {
  /** Between two checks of all hosts and wait queues. */
  static final long CHECK_INTERVAL_NANOS = 100_000_000L;

  private final boolean isRemovalBinding;
  private final long clockResolutionNanos;
  private final HostTable hosts;
  private final DeadlineQueue deadlineQueue;
  private final PolicyComponents components;
  private final RequestLifecycle requests;
  private final EndpointSubscription subscription;
  private long nextCheckAt;

  /** Creates a policy without overload control. */
  public DefaultRoutingPolicy(
      RoutingSettings settings, RandomGenerator random, PolicyActions actions) {
    this(settings, random, actions, OverloadSignals.withoutOverloadControl(settings));
  }

  /** Creates a policy that keeps to the retry budgets and Retry-After times of overload control. */
  public DefaultRoutingPolicy(
      RoutingSettings settings,
      RandomGenerator random,
      PolicyActions actions,
      OverloadSignals overloadSignals) {
    isRemovalBinding = settings.isRemovalBinding();
    clockResolutionNanos = settings.clockResolutionNanos();
    components = new PolicyComponents(settings, random, actions, overloadSignals);
    hosts = components.hosts;
    deadlineQueue = components.deadlineQueue;
    subscription = components.subscription;
    requests = new RequestLifecycle(actions, overloadSignals, components);
  }

  @Override
  public void endpointsReplaced(long now, List<Endpoint> endpoints, boolean fromCache) {
    if (isRemovalBinding) {
      hosts.removeUnlisted(endpoints);
    }
    endpointsUpdated(now, endpoints);
    if (fromCache) {
      nextCheckAt = now;
      deadlineQueue.requestTimer(now + clockResolutionNanos);
      subscription.start();
    }
  }

  @Override
  public void endpointsUpdated(long now, List<Endpoint> changes) {
    subscription.updateReceived();
    changes.forEach(this::update);
    hosts.groups().forEach(group -> requests.dispatchWaiting(group, now));
  }

  /** A draining or removed host gets no new attempts from now on, even in its grace period. */
  private void update(Endpoint endpoint) {
    HostState host = hosts.getOrAdd(endpoint, components.limiter.initialLimit());
    if (endpoint.state() == Endpoint.State.REMOVED && !isRemovalBinding) {
      return; // Such a list does not prove which hosts are up: their health decides.
    }
    host.listed(endpoint);
    if (endpoint.state() != Endpoint.State.READY) {
      host.leaveGroup();
      return;
    }
    hosts.group(endpoint.group()).add(host);
    if (endpoint.startedAt() > host.slowStart.startedAt()) {
      host.processRestarted(endpoint.startedAt());
    }
    components.primaries.endpointListed(host);
  }

  @Override
  public void endpointRefreshFailed(long now) {
    subscription.failed(now);
  }

  @Override
  public void requestReceived(long now, Request request) {
    requests.requestReceived(request, now);
  }

  @Override
  public void attemptFinished(long now, AttemptResult result) {
    requests.attemptFinished(result, now);
  }

  @Override
  public void clientDisconnected(long now, RequestId request) {
    requests.clientDisconnected(request);
  }

  @Override
  public void shuttingDown(long now, long deadline) {
    requests.shuttingDown(deadline);
  }

  @Override
  public void healthCheckFinished(long now, HostId id, boolean answered, LoadReport report) {
    HostState host = hosts.host(id);
    components.healthChecks.healthCheckFinished(host);
    if (answered) { // No answer proves nothing: hosts turn checks away when many routers ask.
      components.outliers.healthCheckAnswered(host, now);
    }
    components.primaries.reportReceived(host, report, now);
    requests.dispatchWaiting(host, now);
  }

  @Override
  public void timerFired(long now) {
    requests.endExpired(now);
    if (now >= nextCheckAt) {
      nextCheckAt = now + CHECK_INTERVAL_NANOS;
      hosts.groups().forEach(group -> check(group, now));
      hosts.forgetRemoved();
    }
    subscription.retryIfDue(now);
    deadlineQueue.rearm(Math.min(nextCheckAt, subscription.retryAt()));
  }

  /** Checks the hosts of a group, then what waits for them. */
  private void check(GroupState group, long now) {
    for (HostState host : group.members()) {
      SlowStart.updateWorkRate(host);
      components.lostAnswers.check(host, now);
      components.outliers.check(host, now);
      components.primaries.checkHealthIfPrimaryUnknown(host);
    }
    for (PendingRequest pending : group.waitingRequests()) {
      if (!pending.isWrite()) {
        pending.forgetAvoidedHosts();
      } else if (!group.hasPrimary()) {
        requests.process(pending, now);
      }
    }
    requests.dispatchWaiting(group, now);
  }
}
