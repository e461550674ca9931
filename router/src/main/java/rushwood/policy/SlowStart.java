package rushwood.policy;

import java.util.random.RandomGenerator;
import rushwood.api.RoutingSettings;

/**
 * Limits what a host gets after its process has started to a share, growing with its age, of slots
 * and of the work that warm hosts complete. So all routers together stay well below the load at
 * which a cold host collapses, without exchanging messages. Work is expected service time in
 * nanoseconds.
 */
final class SlowStart {
  /** The share of the load at which a cold host collapses that it gets; the rest is margin. */
  private static final double SAFE_LOAD_SHARE = 0.5;

  /** The same where several routers share a slot: a larger margin, for many routers. */
  private static final double SAFE_LOAD_SHARE_OF_SHARED_SLOTS = 0.35;

  /** How much of the work of a collapse window may come at once; more would be an early burst. */
  private static final double BURST_SHARE = 0.25;

  /** The weight of a check interval in the rate of work: about the last two seconds count. */
  private static final double WORK_RATE_SMOOTHING = 0.05;

  private final RoutingSettings settings;
  private final RandomGenerator random;
  private final ServiceTimes serviceTimes;
  private final HostTable hosts;
  private final double safeLoadShare;

  SlowStart(
      RoutingSettings settings,
      RandomGenerator random,
      ServiceTimes serviceTimes,
      HostTable hosts) {
    this.settings = settings;
    this.random = random;
    this.serviceTimes = serviceTimes;
    this.hosts = hosts;
    boolean areSlotsShared = ConcurrencyLimiter.areSlotsShared(settings);
    safeLoadShare = areSlotsShared ? SAFE_LOAD_SHARE_OF_SHARED_SLOTS : SAFE_LOAD_SHARE;
  }

  /**
   * The share of its full capacity that a host of this age has at least: from the settings' share
   * at its start to 1 after the warm-up time.
   */
  private double capacityShare(HostState host, long now) {
    double age = (double) host.slowStart.ageNanos(now) / settings.warmupNanos();
    double initial = settings.coldStartShare();
    return age >= 1 ? 1 : initial + (1 - initial) * Math.max(0, age);
  }

  private boolean isWarm(HostState host, long now) {
    return capacityShare(host, now) == 1;
  }

  /** The share of a warm host's slots and work that this host may get, at most 1. */
  double loadShare(HostState host, long now) {
    return Math.min(1, capacityShare(host, now) * settings.collapseMultiple() * safeLoadShare);
  }

  /**
   * Whether the host may get that request, for its expected service time: a warm host always, a
   * cold one within its budget. The budget grows by the host's share of the work that warm hosts
   * complete, up to a quarter of a collapse window. Each router starts it at another level, so that
   * their first attempts come at other times.
   */
  boolean hasTokens(PendingRequest pending, HostState host, long now) {
    if (isWarm(host, now)) {
      return true;
    }
    double rate = loadShare(host, now) * warmHostWorkRate(host, now);
    double expectedNanos = serviceTimes.expectedNanos(pending);
    double windowNanos = settings.collapseWindowNanos();
    double capacity = Math.max(expectedNanos, rate * windowNanos * BURST_SHARE);
    if (host.slowStart.hasTokensOfEarlierProcess()) {
      host.slowStart.tokens.reset(random.nextDouble() * capacity, now);
    }
    host.slowStart.tokens.refill(rate, capacity, now);
    return host.slowStart.tokens.has(expectedNanos);
  }

  /**
   * The work that a warm host of this weight completes, in nanoseconds of work a nanosecond. With
   * none warm it is what the host's slots allow: a busy slot completes one.
   */
  private double warmHostWorkRate(HostState host, long now) {
    double rate = 0;
    double weight = 0;
    for (HostState candidate : hosts.hosts()) {
      if (candidate.hasGroup() && candidate.health.isHealthy() && isWarm(candidate, now)) {
        rate += candidate.slowStart.completedWorkRate();
        weight += candidate.endpoint().weight();
      }
    }
    return weight > 0 ? host.endpoint().weight() * rate / weight : host.concurrency.limit();
  }

  /** Charges an attempt to its host's budget. */
  void attemptSent(Attempt attempt) {
    attempt.host.slowStart.tokens.take(serviceTimes.expectedNanos(attempt.pending));
  }

  /** Counts a successful attempt as work that its host has completed. */
  void answerReceived(Attempt attempt) {
    attempt.host.slowStart.recordCompletedWork(serviceTimes.expectedNanos(attempt.pending));
  }

  /** Updates the host's rate of completed work; called once a check interval. */
  static void updateWorkRate(HostState host) {
    host.slowStart.updateWorkRate(DefaultRoutingPolicy.CHECK_INTERVAL_NANOS, WORK_RATE_SMOOTHING);
  }
}
