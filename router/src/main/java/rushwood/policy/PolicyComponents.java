package rushwood.policy;

import java.util.random.RandomGenerator;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.RoutingSettings;

/** Creates the components of one router's policy and wires them together. */
final class PolicyComponents {
  final HostTable hosts = new HostTable();
  final DeadlineQueue deadlineQueue;
  final EndpointPolicy endpointPolicy;
  final EndpointSubscription subscription;
  final HealthCheckPolicy healthChecks;
  final LostAnswerDetector lostAnswers;
  final OutlierDetector outliers;
  final PrimaryTracker primaries;
  final RequestDecider decider;
  final WaitQueueDispatcher dispatcher;
  final RequestLifecycle lifecycle;

  PolicyComponents(
      RoutingSettings settings,
      RandomGenerator random,
      PolicyActions actions,
      OverloadSignals overloadSignals) {
    deadlineQueue = new DeadlineQueue(actions);
    subscription = new EndpointSubscription(settings, random, actions, deadlineQueue);
    PendingRequests requests = new PendingRequests(actions, settings.canCancel());
    ServiceTimes serviceTimes = new ServiceTimes(settings.requestClasses());

    DeadlinePolicy deadlines = new DeadlinePolicy(settings.clockResolutionNanos(), overloadSignals);
    RetryPolicy retries = new RetryPolicy(settings.maxAttempts(), overloadSignals);
    FreshnessPolicy freshness = new FreshnessPolicy(settings);
    healthChecks = new HealthCheckPolicy(settings, random, actions);
    SlowStart slowStart = new SlowStart(settings, random, serviceTimes, hosts);
    lostAnswers = new LostAnswerDetector(random, serviceTimes, requests);
    outliers =
        new OutlierDetector(actions, overloadSignals, serviceTimes, healthChecks, lostAnswers);
    ConcurrencyLimiter limiter =
        new ConcurrencyLimiter(settings, serviceTimes, slowStart, healthChecks);
    primaries = new PrimaryTracker(actions, healthChecks);
    endpointPolicy = new EndpointPolicy(settings.isRemovalBinding(), hosts, limiter, primaries);

    WriteSelector writes = new WriteSelector(settings.maxAttempts(), outliers, limiter);
    LongReadPolicy longReads = new LongReadPolicy(serviceTimes, freshness, outliers);
    SuitabilityPolicy suitability = new SuitabilityPolicy(settings, outliers, longReads);
    ReplicaSelector replicas =
        new ReplicaSelector(random, freshness, suitability, longReads, limiter, healthChecks);
    decider = new RequestDecider(deadlines, retries, freshness, writes, replicas);
    QueuePolicy queuePolicy =
        new QueuePolicy(settings, serviceTimes, freshness, writes, replicas, limiter);

    AttemptSender sender =
        new AttemptSender(
            actions, overloadSignals, deadlines, freshness, healthChecks, slowStart, lostAnswers);
    dispatcher = new WaitQueueDispatcher(queuePolicy, sender);
    lifecycle =
        new RequestLifecycle(
            requests,
            new RequestExpiry(deadlineQueue, requests, deadlines),
            decider,
            sender,
            new AttemptResultRecorder(
                serviceTimes, slowStart, lostAnswers, limiter, outliers, freshness, primaries),
            dispatcher,
            new FinalAnswers(actions, requests, retries));
  }
}
