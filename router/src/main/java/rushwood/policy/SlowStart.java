package rushwood.policy;

/**
 * Limits what a host gets after its process has started to a share, growing with its age, of slots
 * and of the work that warm hosts complete. So all routers together stay well below the load at
 * which a cold host collapses, without exchanging messages.
 */
record SlowStart(PolicyContext context) {
  private static final double MULTIPLE_SHARE = 0.5; // of the collapse multiple; rest is margin
  private static final double SHARED_SLOTS_SHARE = 0.35; // a larger margin, for many routers
  private static final double BURST_SHARE = 0.25; // of a window; more would allow an early burst
  private static final double WORK_RATE_SMOOTHING = 0.05; // about the last two seconds count

  /** The share of its capacity that a host has at the least, by its age: 1 once it is warm. */
  private double progress(HostState host, long now) {
    double age = (double) host.slowStart.ageNanos(now) / context.settings().warmupNanos();
    double initial = context.settings().coldStartShare();
    return age >= 1 ? 1 : initial + (1 - initial) * Math.max(0, age);
  }

  private boolean isWarm(HostState host, long now) {
    return progress(host, now) == 1;
  }

  /** The share of a warm host's work that this host may get. */
  double share(HostState host, long now) {
    boolean areSlotsShared = ConcurrencyLimiter.areSlotsShared(context);
    double multipleShare = areSlotsShared ? SHARED_SLOTS_SHARE : MULTIPLE_SHARE;
    double multiple = context.settings().collapseMultiple();
    return Math.min(1, progress(host, now) * multiple * multipleShare);
  }

  /** Whether a host that is not warm may get that request, for its expected service time. */
  boolean hasTokens(PendingRequest pending, HostState host, long now) {
    if (isWarm(host, now)) {
      return true;
    }
    double rate = share(host, now) * warmRate(host, now);
    double expected = context.serviceTimes().expected(pending);
    double window = context.settings().collapseWindowNanos();
    double capacity = Math.max(expected, rate * window * BURST_SHARE);
    if (host.slowStart.hasTokensOfEarlierProcess()) {
      // Each router starts at another level, so that their first attempts come at other times.
      host.slowStart.tokens.reset(context.random().nextDouble() * capacity, now);
    }
    host.slowStart.tokens.refill(rate, capacity, now);
    return host.slowStart.tokens.has(expected);
  }

  /** What warm hosts complete for the host's weight; with none warm, what its slots allow. */
  private double warmRate(HostState host, long now) {
    double rate = 0;
    double weight = 0;
    for (HostState other : context.hosts().hosts()) {
      if (other.hasGroup() && other.health.isHealthy() && isWarm(other, now)) {
        rate += other.slowStart.completedWorkRate();
        weight += other.endpoint().weight();
      }
    }
    return weight > 0 ? host.endpoint().weight() * rate / weight : host.concurrency.limit();
  }

  /** Updates the host's rate of completed work; called once a check interval. */
  static void updateWorkRate(HostState host) {
    host.slowStart.updateWorkRate(DefaultRoutingPolicy.CHECK_INTERVAL_NANOS, WORK_RATE_SMOOTHING);
  }
}
