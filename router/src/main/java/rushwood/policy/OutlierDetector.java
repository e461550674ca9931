package rushwood.policy;

import java.util.Locale;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.LogLevel;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;

/**
 * Ejects hosts that cannot be reached or do not answer, and restores them. An ejected host loses
 * its role as primary. While a member of its group is healthy, an unresponsive host gets only trial
 * requests, and an unreachable one gets no requests.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>to</th><th>when</th></tr>
 *   <tr><td>any</td><td>unreachable</td><td>an attempt cannot connect, and the host has not
 *       answered since that attempt was sent; or the connection of its only attempt in flight
 *       breaks</td></tr>
 *   <tr><td>healthy</td><td>unresponsive</td><td>more than {@value #MAX_MISSING_ANSWERS} answers
 *       are missing</td></tr>
 *   <tr><td>unreachable</td><td>healthy</td><td>the host answers a health check</td></tr>
 *   <tr><td>unresponsive</td><td>healthy</td><td>the host answers an attempt</td></tr>
 *   <tr><td>any</td><td>healthy</td><td>the endpoint list shows that the process of the host has
 *       restarted ({@link EndpointPolicy})</td></tr>
 * </table>
 *
 * <p>In any state, a host to which the connect backoff allows no connection gets no attempts for a
 * while. Otherwise every waiting request would use up an attempt at once.
 */
final class OutlierDetector {
  /**
   * The number of missing answers above which a host is ejected. The probability that so many are
   * missing by chance is 1 in 100,000.
   */
  private static final double MAX_MISSING_ANSWERS = 12;

  /**
   * The longest outage after which a host counts as warm. After a longer one its process has
   * probably restarted.
   */
  private static final long MAX_WARM_OUTAGE_NANOS = 2 * HealthCheckPolicy.TRIAL_INTERVAL_NANOS;

  /** How long a host gets no attempts after an attempt needed a connection that is not allowed. */
  private static final long CONNECT_PAUSE_NANOS = DefaultRoutingPolicy.CHECK_INTERVAL_NANOS / 2;

  private final PolicyActions actions;
  private final OverloadSignals overloadSignals;
  private final ServiceTimes serviceTimes;
  private final HealthCheckPolicy healthChecks;
  private final LostAnswerDetector lostAnswers;

  OutlierDetector(
      PolicyActions actions,
      OverloadSignals overloadSignals,
      ServiceTimes serviceTimes,
      HealthCheckPolicy healthChecks,
      LostAnswerDetector lostAnswers) {
    this.actions = actions;
    this.overloadSignals = overloadSignals;
    this.serviceTimes = serviceTimes;
    this.healthChecks = healthChecks;
    this.lostAnswers = lostAnswers;
  }

  /**
   * Returns whether the host may get requests: it is healthy, due for a trial request, or in a
   * group without a healthy member, since ejection must not empty a group. In such a group, an
   * unreachable host is usable only while the connect backoff allows a connection to it.
   */
  boolean isUsable(HostState host, long now) {
    return host.health.isHealthy()
        || healthChecks.isTrialDue(host, now)
        || (host.group().hasNoHealthyMember()
            && (!host.health.isUnreachable() || overloadSignals.canConnect(now, host.id)));
  }

  /**
   * Ejects, restores or pauses a host after an attempt. A broken connection is no evidence against
   * a host with other attempts in flight, nor a failed connect against a host that has answered
   * since.
   */
  void attemptFinished(Attempt attempt, AttemptResult result, long now) {
    HostState host = attempt.host;
    boolean failed =
        (result.outcome() == AttemptOutcome.CONNECT_FAILED && !host.hasAnsweredSince(attempt))
            || (result.outcome() == AttemptOutcome.CONNECTION_LOST && host.inFlight.size() <= 1);
    if (failed) {
      eject(host, HostHealth.Status.UNREACHABLE, now);
    } else if (result.outcome().isHostResponse()) {
      host.health.answered(now);
      if (host.health.isUnresponsive()) {
        restore(host, now);
      }
    } else if (result.outcome() == AttemptOutcome.NOT_SENT
        && !overloadSignals.canConnect(now, host.id)) {
      host.health.pauseConnects(now + CONNECT_PAUSE_NANOS);
    }
  }

  /**
   * Restores an unreachable host. An unresponsive host stays ejected, since it may answer health
   * checks but no requests.
   */
  void healthCheckAnswered(HostState host, long now) {
    if (host.health.isUnreachable()) {
      restore(host, now);
    }
  }

  /**
   * Ejects a host that owes too many answers, or else sends it a health check if one is due. Called
   * once per check interval.
   */
  void check(HostState host, long now) {
    if (host.health.isHealthy() && missingAnswers(host, now) > MAX_MISSING_ANSWERS) {
      eject(host, HostHealth.Status.UNRESPONSIVE, now);
    } else {
      healthChecks.checkHealthIfDue(host, now);
    }
  }

  private void restore(HostState host, long now) {
    actions.log(LogLevel.INFO, "restored host " + host.id + ": it answers again");
    if (host.health.isUnreachable() && now - host.health.ejectedAt() > MAX_WARM_OUTAGE_NANOS) {
      host.processRestarted(now);
    }
    host.health.restore();
  }

  private void eject(HostState host, HostHealth.Status status, long now) {
    if (!host.hasGroup() || host.health.isUnreachable() || host.health.status() == status) {
      return;
    }
    String reason = status.name().toLowerCase(Locale.ROOT);
    actions.log(LogLevel.WARN, "ejected host " + host.id + ": " + reason);
    host.health.eject(status, now);
    healthChecks.hostEjected(host, now);
    host.group().clearPrimary(host);
    lostAnswers.check(host, now);
  }

  /**
   * Returns how many answers a host should have given since its last one, according to the expected
   * service times of the attempts in flight there. A host that answers anything is responsive, and
   * when all hosts become slower together, the expected service times grow too.
   */
  private double missingAnswers(HostState host, long now) {
    return host.inFlight.stream()
        .filter(attempt -> !attempt.isPresumedLost())
        .mapToDouble(
            attempt -> attempt.hostSilenceNanos(now) / serviceTimes.expectedNanos(attempt.pending))
        .sum();
  }
}
