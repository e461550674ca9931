package rushwood.policy;

import java.util.Comparator;
import java.util.random.RandomGenerator;
import rushwood.api.PolicyActions;
import rushwood.api.RoutingSettings;

/**
 * Decides which hosts get a health check or a trial request. Both together stay a share of this
 * router's requests: hundreds of routers that each check all hosts cost more than they learn, and
 * hosts turn their checks away.
 */
final class HealthCheckPolicy {
  /** Health checks and trial requests for each request: a small share of what requests cost. */
  private static final double CHECKS_PER_REQUEST = 0.1;

  /** How many may be saved up: about a group's health checks and its hosts' first trials. */
  private static final int MAX_ACCRUED_CHECKS = 10;

  /**
   * Between two trial requests or health checks of an ejected host; short, since the budget limits
   * their number.
   */
  static final long TRIAL_INTERVAL_NANOS = 5 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  /** Until an unreachable host is checked again: the first health check may get lost. */
  private static final long FIRST_RECHECK_INTERVAL_NANOS =
      DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  private final boolean hasHealthChecks;
  private final boolean hasLoadReports;
  private final RandomGenerator random;
  private final PolicyActions actions;
  private final TokenBucket budget = new TokenBucket();

  HealthCheckPolicy(RoutingSettings settings, RandomGenerator random, PolicyActions actions) {
    hasHealthChecks = settings.hasHealthChecks();
    hasLoadReports = settings.hasLoadReports();
    this.random = random;
    this.actions = actions;
  }

  /** Each request adds to the budget. */
  void requestReceived() {
    budget.add(CHECKS_PER_REQUEST, MAX_ACCRUED_CHECKS);
  }

  /**
   * Checks the host, if hosts answer health checks, none is in flight there and the budget allows
   * it; returns whether it did.
   */
  boolean checkHealth(HostState host) {
    if (!hasHealthChecks || host.health.isHealthCheckInFlight() || !budget.has(1)) {
      return false;
    }
    budget.take(1);
    host.health.healthCheckStarted();
    actions.checkHealth(host.id);
    return true;
  }

  /** The health check of that host has ended, with an answer or without. */
  void healthCheckFinished(HostState host) {
    host.health.healthCheckEnded();
  }

  /** Checks an ejected host. */
  void hostEjected(HostState host, long now) {
    boolean isUnreachable = host.health.isUnreachable();
    long intervalNanos = isUnreachable ? FIRST_RECHECK_INTERVAL_NANOS : TRIAL_INTERVAL_NANOS;
    host.health.scheduleTrial(now + intervalNanos);
    checkHealth(host);
  }

  /** Checks an unreachable host again after each trial interval. */
  void checkHealthIfDue(HostState host, long now) {
    if (isHealthCheckDue(host, now) && checkHealth(host)) {
      host.health.scheduleTrial(now + TRIAL_INTERVAL_NANOS);
    }
  }

  private static boolean isHealthCheckDue(HostState host, long now) {
    return host.health.isUnreachable() && host.health.isTrialTimeReached(now);
  }

  /**
   * Whether the host may get a trial request. An unresponsive host may answer health checks, so
   * only a request shows whether it serves again.
   */
  boolean isTrialDue(HostState host, long now) {
    return host.health.isUnresponsive() && host.health.isTrialTimeReached(now) && budget.has(1);
  }

  /** An attempt at a host that is due for a trial request is that trial request. */
  void attemptSent(HostState host, long now) {
    if (isTrialDue(host, now)) {
      budget.take(1);
      host.health.scheduleTrial(now + TRIAL_INTERVAL_NANOS);
    }
  }

  /**
   * Where hosts report their positions, checks the replica whose position was heard longest ago, if
   * that is longer than {@code maxAgeNanos}. Half of the time unreachable hosts that are due come
   * first, which only a health check brings back: reads that find no fresh replica would otherwise
   * use up the budget, and such hosts would stay ejected.
   */
  void checkReplicaWithOldestReport(GroupState group, long maxAgeNanos, long now) {
    if (!hasLoadReports) {
      return;
    }
    boolean unreachableFirst = random.nextBoolean();
    if (unreachableFirst
        && group.members().stream().anyMatch(host -> isHealthCheckDue(host, now))) {
      return;
    }
    group.replicas().stream()
        .filter(host -> !host.health.isUnreachable() && !host.health.isHealthCheckInFlight())
        .min(Comparator.comparingLong(host -> host.replication.positionReportedAt()))
        .filter(host -> host.replication.positionReportedAt() < now - maxAgeNanos)
        .ifPresent(this::checkHealth);
  }
}
