package rushwood.policy;

import rushwood.api.AttemptResult;

/**
 * Limits the attempts in flight at each host. A limit rises while answers are quick and slots are
 * short, and falls while answers are slow or missing, so that requests queue in the router, which
 * can order them, and not in the host. A limit below one is one slot with a pause after each use.
 */
record ConcurrencyLimiter(
    PolicyContext context, SlowStart slowStart, HealthCheckPolicy healthChecks) {
  private static final double MIN_LIMIT_OF_ALL_ROUTERS = 6; // at one host: keeps several cores busy
  private static final int INITIAL_MULTIPLE = 2; // times the minimum limit
  private static final double PRIMARY_READ_SHARE = 0.5; // of its slots; the rest is for writes
  private static final double MAX_RELATIVE_STEP = 0.25; // of the limit; applies below two
  private static final double LATENCY_RATIO_SMOOTHING = 0.1; // about the last ten answers count
  private static final double FULL_WEIGHT_GAP_NANOS = 2e9; // answers this far apart count in full
  private static final double TARGET_LATENCY_RATIO = 0.35; // the rest is for the wait queue
  private static final long MAX_IDLE_CREDIT_NANOS = 3_000_000_000L; // of unused time, for bursts
  private static final double MAX_WORK_MULTIPLE = 3; // times the expected service time

  /** Pause of a host that refuses or fails requests: it may be draining before the list says so. */
  private static final long REFUSAL_PAUSE_NANOS = DefaultRoutingPolicy.CHECK_INTERVAL_NANOS / 2;

  private static double minLimit(PolicyContext context) {
    double share = MIN_LIMIT_OF_ALL_ROUTERS / Math.max(1, context.settings().routerCount());
    return share < 1 ? share : Math.floor(share);
  }

  /** Whether there are so many routers that several share a slot of a host. */
  static boolean areSlotsShared(PolicyContext context) {
    return minLimit(context) < 1;
  }

  double initialLimit() {
    return INITIAL_MULTIPLE * minLimit(context);
  }

  /** Whether the host has a free slot for that request, which it may use safely. */
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

  /** Whether the host can take any attempt now. */
  boolean canTakeAny(HostState host, long now) {
    return host.occupiedSlots() < effectiveLimit(host, now) || healthChecks.isTrialDue(host, now);
  }

  private double effectiveLimit(HostState host, long now) {
    if (host.concurrency.isPaused(now)) {
      return 0;
    }
    double oneSlot = Math.min(1, 1 / host.concurrency.limit());
    double share = Math.max(oneSlot, slowStart.share(host, now));
    return host.health.isHealthy() ? host.concurrency.limit() * share : 1;
  }

  /** Whether the host's answers have lately taken longer than they should. */
  static boolean isSlow(HostState host) {
    return host.concurrency.latencyRatio() > TARGET_LATENCY_RATIO;
  }

  void attemptFinished(Attempt attempt, AttemptResult result, long now) {
    HostState host = attempt.host;
    double latencyRatio = result.durationNanos() / attempt.pending.objectiveTime();
    switch (result.outcome()) {
      case SUCCESS -> {
        adjust(host, latencyRatio, now);
        // Another host has served the request, so the hosts that failed it were at fault.
        for (HostState failed : attempt.pending.hostsWithErrors()) {
          failed.concurrency.pauseUntil(now + REFUSAL_PAUSE_NANOS);
        }
      }
      case OVERLOADED -> {
        adjust(host, 1, now);
        host.concurrency.pauseUntil(now + REFUSAL_PAUSE_NANOS);
      }
      case TIMED_OUT -> {
        if (!attempt.isPresumedLost()) {
          adjust(host, Math.max(1, latencyRatio), now);
        }
      }
      default -> {} // The others say nothing of the host's load.
    }
    pauseToLimit(attempt, result.durationNanos(), now);
  }

  /** Adjusts the limit to an answer, by the share of its request's objective time that it took. */
  private void adjust(HostState host, double latencyRatio, long now) {
    double gapWeight = Math.min(1, (now - host.health.lastAnswerAt()) / FULL_WEIGHT_GAP_NANOS);
    host.concurrency.recordLatencyRatio(latencyRatio, Math.max(LATENCY_RATIO_SMOOTHING, gapWeight));
    double limit = host.concurrency.limit();
    double step = Math.min(1 / limit, limit * MAX_RELATIVE_STEP);
    if (isSlow(host)) {
      host.concurrency.adjustLimit(Math.max(minLimit(context), limit - step));
    } else if (latencyRatio <= TARGET_LATENCY_RATIO && host.inFlight.size() + 1 >= limit) {
      host.concurrency.adjustLimit(limit + step);
    }
  }

  /** Pauses a host whose limit is below one, so long that its average use equals the limit. */
  private void pauseToLimit(Attempt attempt, long durationNanos, long now) {
    HostState host = attempt.host;
    double maxWork = MAX_WORK_MULTIPLE * context.serviceTimes().expected(attempt.pending);
    double pause = Math.min(durationNanos, maxWork) * Math.max(0, 1 / host.concurrency.limit() - 1);
    long pauseStart =
        Math.max(host.concurrency.pausedUntil(), now - (isSlow(host) ? 0 : MAX_IDLE_CREDIT_NANOS));
    host.concurrency.pauseUntil(pauseStart + (long) pause);
  }
}
