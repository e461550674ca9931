package rushwood.policy;

import rushwood.api.AttemptResult;
import rushwood.api.RoutingSettings;

/**
 * Limits the attempts in flight at each host. A limit rises while answers are quick and all slots
 * are in use, and falls while answers are slow or missing, so that requests queue in the router,
 * which can order them, and not in the host. A limit below 1 means one slot with a pause after each
 * attempt.
 *
 * <p>The latency ratio of an answer is the time that it took as a share of the latency objective of
 * its request.
 */
final class ConcurrencyLimiter {
  /** The minimum limit per host, in slots of all routers together; it keeps several cores busy. */
  private static final double MIN_TOTAL_LIMIT = 6;

  /** The initial limit of a host, as a multiple of the minimum limit. */
  private static final int INITIAL_LIMIT_MULTIPLE = 2;

  /** The share of its slots that a primary gives to reads; the rest is for writes. */
  private static final double PRIMARY_READ_SHARE = 0.5;

  /**
   * The largest single change of a limit, as a share of the limit; it applies to limits below 2.
   */
  private static final double MAX_RELATIVE_STEP = 0.25;

  /** The weight of an answer in the latency ratio, which averages about the last ten answers. */
  private static final double LATENCY_RATIO_SMOOTHING = 0.1;

  /**
   * An answer this long after the previous one replaces the latency ratio. Shorter gaps weigh an
   * answer in proportion.
   */
  private static final double FULL_WEIGHT_GAP_NANOS = 2e9;

  /**
   * The latency ratio above which a host is slow; the rest of the latency objective is left for
   * waiting in the queue.
   */
  private static final double TARGET_LATENCY_RATIO = 0.35;

  /** The longest idle time that a shared slot may make up for, since requests arrive in bursts. */
  private static final long MAX_IDLE_CREDIT_NANOS = 3_000_000_000L;

  /** The longest attempt duration that counts towards a pause, in expected service times. */
  private static final double MAX_WORK_MULTIPLE = 3;

  /**
   * The pause of a host that refuses or fails requests: it may be draining although the endpoint
   * list does not say so yet.
   */
  private static final long REFUSAL_PAUSE_NANOS = DefaultRoutingPolicy.CHECK_INTERVAL_NANOS / 2;

  private final double minLimit;
  private final ServiceTimes serviceTimes;
  private final SlowStart slowStart;
  private final HealthCheckPolicy healthChecks;

  ConcurrencyLimiter(
      RoutingSettings settings,
      ServiceTimes serviceTimes,
      SlowStart slowStart,
      HealthCheckPolicy healthChecks) {
    minLimit = minLimit(settings);
    this.serviceTimes = serviceTimes;
    this.slowStart = slowStart;
    this.healthChecks = healthChecks;
  }

  /**
   * Returns this router's part of the total minimum limit: whole slots, or a fraction of one slot.
   */
  private static double minLimit(RoutingSettings settings) {
    double share = MIN_TOTAL_LIMIT / Math.max(1, settings.routerCount());
    return share < 1 ? share : Math.floor(share);
  }

  /** Returns whether there are so many routers that several share a slot of a host. */
  static boolean areSlotsShared(RoutingSettings settings) {
    return minLimit(settings) < 1;
  }

  /** Returns the limit of a host from which no answer is known yet. */
  double initialLimit() {
    return INITIAL_LIMIT_MULTIPLE * minLimit;
  }

  /**
   * Returns whether the host has a free slot for the request, and the request may safely run there.
   * The first case that applies:
   *
   * <ol>
   *   <li>the host is due for a trial request: yes if the request is idempotent, otherwise no;
   *   <li>the effective limit, or for a read the share of it that a primary gives to reads, is used
   *       up: no;
   *   <li>the request may have run, and must not run on that host again ({@link
   *       RetryPolicy#isSafeOn}): no;
   *   <li>the host is cold, and its slow-start tokens are used up ({@link SlowStart#hasTokens}):
   *       no;
   *   <li>otherwise yes.
   * </ol>
   */
  boolean hasFreeSlot(PendingRequest pending, HostState host, long now) {
    if (healthChecks.isTrialDue(host, now)) {
      return pending.isIdempotent();
    }
    boolean isReadOnPrimary = host.isPrimary() && !pending.isWrite();
    double limit = effectiveLimit(host, now) * (isReadOnPrimary ? PRIMARY_READ_SHARE : 1);
    return host.occupiedSlots() < limit
        && RetryPolicy.isSafeOn(pending, host, now)
        && slowStart.hasTokens(pending, host, now);
  }

  /** Returns whether the host has a free slot for any attempt, or is due for a trial request. */
  boolean canTakeAttempt(HostState host, long now) {
    return host.occupiedSlots() < effectiveLimit(host, now) || healthChecks.isTrialDue(host, now);
  }

  /**
   * Returns the limit that applies now: 0 during a pause, 1 for an ejected host, otherwise the
   * host's limit. Slow start reduces the limit of a cold host, but not below one slot.
   */
  private double effectiveLimit(HostState host, long now) {
    if (host.concurrency.isPaused(now) || host.health.areConnectsPaused(now)) {
      return 0;
    }
    if (!host.health.isHealthy()) {
      return 1;
    }
    double limit = host.concurrency.limit();
    double oneSlot = Math.min(1, 1 / limit);
    double share = Math.max(oneSlot, slowStart.loadShare(host, now));
    return limit * share;
  }

  /**
   * Returns whether recent answers from the host took a larger share of the latency objective than
   * the target.
   */
  static boolean isSlow(HostState host) {
    return host.concurrency.latencyRatio() > TARGET_LATENCY_RATIO;
  }

  /**
   * Adjusts the limit and the pause of a host to the result of an attempt:
   *
   * <ul>
   *   <li>success: the limit follows the duration; hosts that answered the same request with an
   *       error before were at fault and pause;
   *   <li>overloaded: counts as an answer that took the whole latency objective, and the host
   *       pauses;
   *   <li>timed out: counts as an answer that took at least the latency objective, unless the
   *       attempt was presumed lost;
   *   <li>other outcomes say nothing about the load of the host.
   * </ul>
   *
   * After any outcome, a host whose limit is below 1 pauses.
   */
  void attemptFinished(Attempt attempt, AttemptResult result, long now) {
    HostState host = attempt.host;
    double latencyRatio = result.durationNanos() / attempt.pending.objectiveNanos();
    switch (result.outcome()) {
      case SUCCESS -> {
        adjust(host, latencyRatio, now);
        for (HostState failed : attempt.pending.hostsWithErrors()) {
          pauseAfterRefusal(failed, now);
        }
      }
      case OVERLOADED -> {
        adjust(host, 1, now);
        pauseAfterRefusal(host, now);
      }
      case TIMED_OUT -> {
        if (!attempt.isPresumedLost()) {
          adjust(host, Math.max(1, latencyRatio), now);
        }
      }
      case ERROR,
          MALFORMED,
          REPLICA_LAGGING,
          CONNECTION_LOST,
          CANCELLED,
          CONNECT_FAILED,
          NOT_SENT -> {}
    }
    pauseForFractionalLimit(attempt, result.durationNanos(), now);
  }

  /**
   * Adjusts the limit to an answer, which took {@code latencyRatio} of the latency objective of its
   * request: down if the host is slow; up if it is not, the answer was quick and all slots were in
   * use. A limit changes by one slot over as many answers as it has slots.
   */
  private void adjust(HostState host, double latencyRatio, long now) {
    double gapWeight = Math.min(1, (now - host.health.lastAnswerAt()) / FULL_WEIGHT_GAP_NANOS);
    host.concurrency.recordLatencyRatio(latencyRatio, Math.max(LATENCY_RATIO_SMOOTHING, gapWeight));
    double limit = host.concurrency.limit();
    double step = Math.min(1 / limit, limit * MAX_RELATIVE_STEP);
    if (isSlow(host)) {
      host.concurrency.adjustLimit(Math.max(minLimit, limit - step));
    } else if (latencyRatio <= TARGET_LATENCY_RATIO && host.inFlight.size() + 1 >= limit) {
      host.concurrency.adjustLimit(limit + step);
    }
  }

  private static void pauseAfterRefusal(HostState host, long now) {
    host.concurrency.pauseUntil(now + REFUSAL_PAUSE_NANOS);
  }

  /** Pauses a host whose limit is below 1 for so long that its average use equals the limit. */
  private void pauseForFractionalLimit(Attempt attempt, long durationNanos, long now) {
    HostState host = attempt.host;
    double maxWork = MAX_WORK_MULTIPLE * serviceTimes.expectedNanos(attempt.pending);
    double work = Math.min(durationNanos, maxWork);
    double pause = work * Math.max(0, 1 / host.concurrency.limit() - 1);
    long idleCreditNanos = isSlow(host) ? 0 : MAX_IDLE_CREDIT_NANOS;
    long pauseStart = Math.max(host.concurrency.pausedUntil(), now - idleCreditNanos);
    host.concurrency.pauseUntil(pauseStart + (long) pause);
  }
}
