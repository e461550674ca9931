package rushwood.policy;

import java.util.Comparator;

/**
 * Decides which hosts get a health check or a trial request. Both together stay a share of this
 * router's requests: hundreds of routers that each check all hosts cost more than they learn, and
 * hosts turn their checks away.
 */
record HealthCheckPolicy(PolicyContext context, TokenBucket budget) {
  private static final double PROBES_PER_REQUEST = 0.1; // a small share of what requests cost
  private static final int MAX_BUDGET = 10; // about a group's checks and its hosts' first trials

  /**
   * Between two trial requests or health checks of a host; short, since the budget limits their
   * number.
   */
  static final long TRIAL_INTERVAL_NANOS = 5 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  void requestReceived() {
    budget.add(PROBES_PER_REQUEST, MAX_BUDGET);
  }

  /** Checks the host if the budget allows it; returns whether it did. */
  boolean checkHealth(HostState host) {
    if (!context.settings().hasHealthChecks()
        || host.health.isHealthCheckInFlight()
        || !budget.has(1)) {
      return false;
    }
    budget.take(1);
    host.health.healthCheckStarted();
    context.actions().checkHealth(host.id);
    return true;
  }

  /** Checks an ejected host; an unreachable one again soon, since the first check may get lost. */
  void hostEjected(HostState host, long now) {
    long intervalNanos =
        host.health.isUnreachable()
            ? DefaultRoutingPolicy.CHECK_INTERVAL_NANOS
            : TRIAL_INTERVAL_NANOS;
    host.health.scheduleTrial(now + intervalNanos);
    checkHealth(host);
  }

  void checkHealthIfDue(HostState host, long now) {
    if (isHealthCheckDue(host, now) && checkHealth(host)) {
      host.health.scheduleTrial(now + TRIAL_INTERVAL_NANOS);
    }
  }

  private static boolean isHealthCheckDue(HostState host, long now) {
    return host.health.isUnreachable() && host.health.isTrialTimeReached(now);
  }

  /**
   * An unresponsive host may answer health checks, so only a request shows whether it serves again.
   */
  boolean isTrialDue(HostState host, long now) {
    return host.health.isUnresponsive() && host.health.isTrialTimeReached(now) && budget.has(1);
  }

  void attemptSent(HostState host, long now) {
    if (isTrialDue(host, now)) {
      budget.take(1);
      host.health.scheduleTrial(now + TRIAL_INTERVAL_NANOS);
    }
  }

  /**
   * Checks the replica whose position was heard longest ago, if that is longer than {@code
   * maxAgeNanos}. Half of the time it yields to unreachable hosts, which only a check brings back:
   * where answers carry no position, reads used up the budget and such hosts stayed ejected.
   */
  void checkHealthOfLeastRecentlyHeard(GroupState group, long maxAgeNanos, long now) {
    boolean yields = context.random().nextBoolean();
    if (yields && group.members().stream().anyMatch(host -> isHealthCheckDue(host, now))) {
      return;
    }
    group.replicas().stream()
        .filter(host -> !host.health.isUnreachable() && !host.health.isHealthCheckInFlight())
        .min(Comparator.comparingLong(host -> host.replication.positionHeardAt()))
        .filter(host -> host.replication.positionHeardAt() < now - maxAgeNanos)
        .ifPresent(this::checkHealth);
  }
}
