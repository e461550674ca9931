package rushwood.policy;

import java.util.Comparator;

/**
 * Decides which hosts are probed or get a trial request. Both together stay a share of this
 * router's requests: hundreds of routers that each probe all hosts cost more than they learn, and
 * hosts turn their probes away.
 */
record ProbePolicy(PolicyContext context, TokenBucket budget) {
  private static final double PROBES_PER_REQUEST = 0.1; // a small share of what requests cost
  private static final int MAX_BUDGET = 10; // about a group's probes and its hosts' first trials

  /** Between two trials or probes of a host; short, since the budget limits their number. */
  static final long TRIAL_INTERVAL_NANOS = 5 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  void requestReceived() {
    budget.add(PROBES_PER_REQUEST, MAX_BUDGET);
  }

  /** Probes the host if the budget allows it; returns whether it did. */
  boolean probe(HostState host) {
    if (!context.settings().canProbe() || host.health.probeInFlight || !budget.has(1)) {
      return false;
    }
    budget.take(1);
    host.health.probeInFlight = true;
    context.actions().probe(host.id);
    return true;
  }

  /** Probes an ejected host; an unreachable one again soon, since the first probe may get lost. */
  void hostEjected(HostState host, long now) {
    long intervalNanos =
        host.isUnreachable() ? DefaultRoutingPolicy.CHECK_INTERVAL_NANOS : TRIAL_INTERVAL_NANOS;
    host.health.nextTrialAt = now + intervalNanos;
    probe(host);
  }

  void probeIfDue(HostState host, long now) {
    if (isProbeDue(host, now) && probe(host)) {
      host.health.nextTrialAt = now + TRIAL_INTERVAL_NANOS;
    }
  }

  private static boolean isProbeDue(HostState host, long now) {
    return host.isUnreachable() && now >= host.health.nextTrialAt;
  }

  /** An unresponsive host may answer probes, so only a request shows whether it serves again. */
  boolean isTrialDue(HostState host, long now) {
    return host.isUnresponsive() && now >= host.health.nextTrialAt && budget.has(1);
  }

  void attemptSent(HostState host, long now) {
    if (isTrialDue(host, now)) {
      budget.take(1);
      host.health.nextTrialAt = now + TRIAL_INTERVAL_NANOS;
    }
  }

  /**
   * Probes the replica whose position was heard longest ago, if that is longer than {@code
   * maxAgeNanos}. Half of the time it yields to unreachable hosts, which only a probe brings back:
   * where answers carry no position, reads used up the budget and such hosts stayed ejected.
   */
  void probeLeastRecentlyHeard(GroupState group, long maxAgeNanos, long now) {
    boolean yields = context.random().nextBoolean();
    if (yields && group.members.stream().anyMatch(host -> isProbeDue(host, now))) {
      return;
    }
    group.replicas().stream()
        .filter(host -> !host.isUnreachable() && !host.health.probeInFlight)
        .min(Comparator.comparingLong(host -> host.replication.positionHeardAt))
        .filter(host -> host.replication.positionHeardAt < now - maxAgeNanos)
        .ifPresent(this::probe);
  }
}
