package rushwood.policy;

import java.util.random.RandomGenerator;
import rushwood.api.RoutingSettings;

/**
 * Limits what a recently started host gets to a share of the slots of warm hosts and of the work
 * that they complete. The share grows with the age of the process. This keeps the load from all
 * routers together well below that at which a cold host collapses, without messages between
 * routers. Work is expected service time in nanoseconds.
 */
final class SlowStart {
  /** The share of its collapse load that a cold host gets; the rest is margin. */
  private static final double SAFE_LOAD_SHARE = 0.5;

  /**
   * The share of its collapse load that a cold host gets if several routers share a slot: many
   * routers need a larger margin.
   */
  private static final double SAFE_LOAD_SHARE_OF_SHARED_SLOTS = 0.35;

  /**
   * The share of the work of a collapse window that may be sent at once; more would allow an early
   * burst.
   */
  private static final double BURST_SHARE = 0.25;

  /** The weight of a check interval in the work rate, which averages about the last two seconds. */
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
   * Returns the least share of its full capacity that a host of this age has: from {@link
   * RoutingSettings#coldStartShare} at its start to 1 after the warm-up time.
   */
  private double capacityShare(HostState host, long now) {
    double age = (double) host.slowStart.ageNanos(now) / settings.warmupNanos();
    double initial = settings.coldStartShare();
    return age >= 1 ? 1 : initial + (1 - initial) * Math.max(0, age);
  }

  private boolean isWarm(HostState host, long now) {
    return capacityShare(host, now) == 1;
  }

  /** Returns the share of a warm host's slots and work that this host may get, at most 1. */
  double loadShare(HostState host, long now) {
    return Math.min(1, capacityShare(host, now) * settings.collapseMultiple() * safeLoadShare);
  }

  /**
   * Returns whether the host may get the request: a warm host always, a cold one if its tokens
   * cover the expected service time. The tokens grow by the host's share of the work that warm
   * hosts complete, up to {@link #BURST_SHARE} of a collapse window. Each router starts with a
   * random number of tokens, so that routers send their first attempts at different times.
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
   * Returns the work that a warm host of this host's weight completes, in nanoseconds of work per
   * nanosecond. If no host is warm, this is the concurrency limit of this host: each busy slot
   * completes one nanosecond of work per nanosecond.
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

  /** Takes the expected work of an attempt from the tokens of its host. */
  void attemptSent(Attempt attempt) {
    attempt.host.slowStart.tokens.take(serviceTimes.expectedNanos(attempt.pending));
  }

  /** Counts a successful attempt as work completed by its host. */
  void answerReceived(Attempt attempt) {
    attempt.host.slowStart.recordCompletedWork(serviceTimes.expectedNanos(attempt.pending));
  }

  /** Updates the host's rate of completed work; called once per check interval. */
  static void updateWorkRate(HostState host) {
    host.slowStart.updateWorkRate(DefaultRoutingPolicy.CHECK_INTERVAL_NANOS, WORK_RATE_SMOOTHING);
  }
}
