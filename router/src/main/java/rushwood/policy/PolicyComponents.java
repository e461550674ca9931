package rushwood.policy;

/**
 * The components of one router's policy, wired together. Those without state of their own are
 * records of the components that they depend on.
 */
final class PolicyComponents {
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

  PolicyComponents(PolicyContext context) {
    deadlines = new DeadlinePolicy(context.settings());
    retries = new RetryPolicy(context);
    freshness = new FreshnessPolicy(context.settings());
    healthChecks = new HealthCheckPolicy(context, new TokenBucket());
    slowStart = new SlowStart(context);
    lostAnswers = new LostAnswerDetector(context);
    outliers = new OutlierDetector(context, healthChecks, lostAnswers);
    limiter = new ConcurrencyLimiter(context, slowStart, healthChecks);
    primaries = new PrimaryTracker(context, outliers, limiter, healthChecks);
    replicas = new ReplicaSelector(context, freshness, outliers, limiter, healthChecks);
    queue = new QueuePolicy(context, freshness, primaries, replicas, limiter);
  }
}
