package rushwood.policy;

import java.util.random.RandomGenerator;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.RoutingSettings;

/** Creates the components of one router's policy and wires them together. */
final class PolicyComponents {
  final HostTable hosts = new HostTable();
  final PendingRequests requests;
  final DeadlineQueue deadlineQueue;
  final EndpointSubscription subscription;
  final ServiceTimes serviceTimes;
  final DeadlinePolicy deadlines;
  final RetryPolicy retries;
  final FreshnessPolicy freshness;
  final HealthCheckPolicy healthChecks;
  final SlowStart slowStart;
  final LostAnswerDetector lostAnswers;
  final OutlierDetector outliers;
  final ConcurrencyLimiter limiter;
  final PrimaryTracker primaries;
  final ReplicaSelector replicas;
  final QueuePolicy queue;

  PolicyComponents(
      RoutingSettings settings,
      RandomGenerator random,
      PolicyActions actions,
      OverloadSignals overloadSignals) {
    requests = new PendingRequests(actions, settings.canCancel());
    deadlineQueue = new DeadlineQueue(actions);
    subscription = new EndpointSubscription(settings, random, actions, deadlineQueue);
    serviceTimes = new ServiceTimes(settings.requestClasses());
    deadlines = new DeadlinePolicy(settings.clockResolutionNanos());
    retries = new RetryPolicy(settings.maxAttempts(), overloadSignals);
    freshness = new FreshnessPolicy(settings);
    healthChecks = new HealthCheckPolicy(settings, random, actions);
    slowStart = new SlowStart(settings, random, serviceTimes, hosts);
    lostAnswers = new LostAnswerDetector(random, serviceTimes, requests);
    outliers =
        new OutlierDetector(actions, overloadSignals, serviceTimes, healthChecks, lostAnswers);
    limiter = new ConcurrencyLimiter(settings, serviceTimes, slowStart, healthChecks);
    primaries =
        new PrimaryTracker(actions, settings.maxAttempts(), outliers, limiter, healthChecks);
    replicas =
        new ReplicaSelector(
            random,
            settings.laggingReadBehavior(),
            serviceTimes,
            freshness,
            outliers,
            limiter,
            healthChecks);
    queue = new QueuePolicy(settings, serviceTimes, freshness, primaries, replicas, limiter);
  }
}
