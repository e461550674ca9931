package rushwood.policy;

import java.util.Comparator;
import java.util.random.RandomGenerator;
import rushwood.api.PolicyActions;
import rushwood.api.RoutingSettings;

/**
 * Decides which hosts get a health check or a trial request. Both together are limited to a share
 * of the requests of this router: if each of hundreds of routers checked all hosts, the checks
 * would cost more than they reveal, and hosts would reject them.
 */
final class HealthCheckPolicy {
  /** The health checks and trial requests that each received request allows. */
  private static final double CHECKS_PER_REQUEST = 0.1;

  /**
   * The most unused health checks and trial requests that may accrue: about enough for the health
   * checks of a group and the first trial requests of its hosts.
   */
  private static final int MAX_ACCRUED_CHECKS = 10;

  /**
   * The interval between trial requests or health checks of an ejected host. It can be short, since
   * the budget limits their number.
   */
  static final long TRIAL_INTERVAL_NANOS = 5 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  /**
   * The time from the ejection of an unreachable host to its second health check, since the first
   * one may get lost.
   */
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

  /** Adds the allowance of one request to the budget. */
  void requestReceived() {
    budget.add(CHECKS_PER_REQUEST, MAX_ACCRUED_CHECKS);
  }

  /**
   * Sends a health check, provided that hosts answer health checks, none is in flight to this host
   * and the budget allows it. Returns whether it was sent.
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

  /** Records the end of a health check, with or without an answer. */
  void healthCheckFinished(HostState host) {
    host.health.healthCheckEnded();
  }

  /** Sends a health check to a host that was just ejected, and schedules its next trial. */
  void hostEjected(HostState host, long now) {
    boolean isUnreachable = host.health.isUnreachable();
    long intervalNanos = isUnreachable ? FIRST_RECHECK_INTERVAL_NANOS : TRIAL_INTERVAL_NANOS;
    host.health.scheduleTrial(now + intervalNanos);
    checkHealth(host);
  }

  /** Sends the next health check to an unreachable host if its trial interval has passed. */
  void checkHealthIfDue(HostState host, long now) {
    if (isHealthCheckDue(host, now) && checkHealth(host)) {
      host.health.scheduleTrial(now + TRIAL_INTERVAL_NANOS);
    }
  }

  private static boolean isHealthCheckDue(HostState host, long now) {
    return host.health.isUnreachable() && host.health.isTrialTimeReached(now);
  }

  /**
   * Returns whether the host is due for a trial request. An unresponsive host may answer health
   * checks, so only a request shows whether it serves requests again.
   */
  boolean isTrialDue(HostState host, long now) {
    return host.health.isUnresponsive() && host.health.isTrialTimeReached(now) && budget.has(1);
  }

  /** Counts an attempt at a host that is due for a trial request as that trial request. */
  void attemptSent(HostState host, long now) {
    if (isTrialDue(host, now)) {
      budget.take(1);
      host.health.scheduleTrial(now + TRIAL_INTERVAL_NANOS);
    }
  }

  /**
   * Sends a health check to the replica whose position was reported longest ago, if that is longer
   * ago than {@code maxAgeNanos} and hosts report their positions. In half of the calls, chosen at
   * random, does nothing while a health check of an unreachable member is due: only health checks
   * restore such members, and reads that find no fresh replica would otherwise use up the budget.
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
