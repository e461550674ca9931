package rushwood.policy;

import java.util.Locale;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.LogLevel;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;

/**
 * Ejects hosts that cannot be reached or answer nothing, and takes them back. An ejected host loses
 * its role as primary and gets nothing but trial requests.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>to</th><th>when</th></tr>
 *   <tr><td>any</td><td>unreachable</td><td>a connection to it fails, though it has not answered
 *       since that attempt was sent; or the connection of its only attempt breaks</td></tr>
 *   <tr><td>healthy</td><td>unresponsive</td><td>more than {@value #MAX_MISSING_ANSWERS} answers
 *       are missing</td></tr>
 *   <tr><td>unreachable</td><td>healthy</td><td>it answers a health check</td></tr>
 *   <tr><td>unresponsive</td><td>healthy</td><td>it answers an attempt</td></tr>
 * </table>
 *
 * <p>A host of any state to which no connection may be opened gets no attempt for a while: those
 * that wait would each be used up at once.
 */
final class OutlierDetector {
  /** So many missing answers are chance once in 100,000. */
  private static final double MAX_MISSING_ANSWERS = 12;

  /** After a longer outage the process of a host has probably restarted, and is cold. */
  private static final long MAX_WARM_OUTAGE_NANOS = 2 * HealthCheckPolicy.TRIAL_INTERVAL_NANOS;

  /** Between two attempts at a host that turn out to need a connection that is not allowed. */
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
   * Whether the host may get requests: it is healthy, or is due for a trial request; or no member
   * of its group is healthy, since ejection never empties a group, and the connect backoff allows
   * an attempt where the host is unreachable.
   */
  boolean isUsable(HostState host, long now) {
    return host.health.isHealthy()
        || healthChecks.isTrialDue(host, now)
        || (host.group().hasNoHealthyMember()
            && (!host.health.isUnreachable() || overloadSignals.canConnect(now, host.id)));
  }

  /** A broken connection says nothing of a host that answers, or has other attempts in flight. */
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

  /** An answered health check restores an unreachable host; an unresponsive one may answer them. */
  void healthCheckAnswered(HostState host, long now) {
    if (host.health.isUnreachable()) {
      restore(host, now);
    }
  }

  /** Ejects a host or checks its health; called once a check interval. */
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
   * How many answers a host should have given since its last one, by the expected service times of
   * what is in flight there. A host that answers anything is responsive, and when all hosts grow
   * slower together the expected times grow too.
   */
  private double missingAnswers(HostState host, long now) {
    return host.inFlight.stream()
        .filter(attempt -> !attempt.isPresumedLost())
        .mapToDouble(
            attempt -> attempt.hostSilenceNanos(now) / serviceTimes.expectedNanos(attempt.pending))
        .sum();
  }
}
