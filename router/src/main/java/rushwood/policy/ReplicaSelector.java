package rushwood.policy;

import java.util.List;
import java.util.random.RandomGenerator;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RoutingSettings.LaggingReadBehavior;

/** Chooses the host for a read: the better of two random replicas, else the best of the group. */
final class ReplicaSelector {
  private static final int CATCH_UP_DIVISOR = 2; // assumed: applies its log at twice real time
  private static final long MIN_CATCH_UP_NANOS = DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;
  private static final long MAX_CATCH_UP_NANOS = 20 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;
  private static final int LONG_READ_DIVISOR = 3; // one replica in this many takes long reads

  private final RandomGenerator random;
  private final boolean servesStale;
  private final ServiceTimes serviceTimes;
  private final FreshnessPolicy freshness;
  private final OutlierDetector outliers;
  private final ConcurrencyLimiter limiter;
  private final HealthCheckPolicy healthChecks;

  ReplicaSelector(
      RandomGenerator random,
      LaggingReadBehavior laggingReadBehavior,
      ServiceTimes serviceTimes,
      FreshnessPolicy freshness,
      OutlierDetector outliers,
      ConcurrencyLimiter limiter,
      HealthCheckPolicy healthChecks) {
    this.random = random;
    servesStale = laggingReadBehavior == LaggingReadBehavior.SERVES;
    this.serviceTimes = serviceTimes;
    this.freshness = freshness;
    this.outliers = outliers;
    this.limiter = limiter;
    this.healthChecks = healthChecks;
  }

  /**
   * Returns the host for a read, or null if it has to wait. Two replicas drawn by weight decide if
   * both are (likely to be) fresh and free, by the power of two choices; else all are compared.
   */
  HostState selectForRead(PendingRequest pending, long now) {
    List<HostState> replicas = pending.group.replicas();
    if (replicas.size() > 2 && !isLongRead(pending)) {
      HostState first = GroupState.drawByWeight(replicas, random);
      HostState second = GroupState.drawByWeight(replicas, random);
      if (suitability(pending, first, now).isAtLeast(Suitability.LIKELY_FRESH)
          && suitability(pending, second, now).isAtLeast(Suitability.LIKELY_FRESH)
          && limiter.hasFreeSlot(pending, first, now)
          && limiter.hasFreeSlot(pending, second, now)) {
        return isBetter(pending, second, first, now) ? second : first;
      }
    }
    return selectOfAll(pending, now);
  }

  private HostState selectOfAll(PendingRequest pending, long now) {
    Suitability best = bestSuitability(pending, now);
    if (best != Suitability.FRESH) {
      healthChecks.checkHealthOfLeastRecentlyHeard(
          pending.group, freshness.minStalenessBoundNanos(), now);
    }
    boolean isLong = isLongRead(pending);
    List<HostState> members = pending.group.members();
    int start = isLong || members.isEmpty() ? 0 : random.nextInt(members.size());
    HostState selected = null;
    for (int i = 0; i < members.size(); i++) {
      HostState host = members.get((start + i) % members.size());
      if (isAcceptable(suitability(pending, host, now), best)
          && limiter.hasFreeSlot(pending, host, now)
          && (selected == null || (!isLong && isBetter(pending, host, selected, now)))) {
        selected = host;
      }
    }
    return selected;
  }

  /** Whether a waiting read may go to that host: to the best of the group, or to any fallback. */
  boolean acceptsRead(PendingRequest pending, HostState host, boolean canFallBack, long now) {
    Suitability best = canFallBack ? Suitability.PRIMARY_FALLBACK : bestSuitability(pending, now);
    return isAcceptable(suitability(pending, host, now), best)
        && limiter.hasFreeSlot(pending, host, now);
  }

  private Suitability bestSuitability(PendingRequest pending, long now) {
    Suitability best = Suitability.UNSUITABLE;
    for (HostState host : pending.group.members()) {
      best = best.orBetter(suitability(pending, host, now));
    }
    return best;
  }

  /** Whether a host is good enough, given the best of its group: reads wait only for fresh ones. */
  private static boolean isAcceptable(Suitability suitability, Suitability best) {
    return switch (best) {
      case FRESH -> suitability.isAtLeast(Suitability.LIKELY_FRESH);
      case LIKELY_FRESH, LAGGING -> suitability.isAtLeast(Suitability.LAGGING);
      case PRIMARY_FALLBACK -> suitability.isAtLeast(Suitability.PRIMARY_FALLBACK);
      case UNSUITABLE -> false;
    };
  }

  /** Better suited, or equally suited with less load for its weight. */
  private boolean isBetter(PendingRequest pending, HostState host, HostState other, long now) {
    int difference = suitability(pending, host, now).compareTo(suitability(pending, other, now));
    return difference < 0 || (difference == 0 && host.load() < other.load());
  }

  private Suitability suitability(PendingRequest pending, HostState host, long now) {
    if (!outliers.isUsable(host, now) || pending.avoids(host)) {
      return Suitability.UNSUITABLE;
    }
    boolean isLong = isLongRead(pending);
    boolean needsPrimary = pending.requires(Consistency.STRONG);
    if ((isLong && takesLongReads(host, now)) || (needsPrimary && host.isPrimary())) {
      return Suitability.FRESH;
    }
    if (isLong || host.isPrimary()) {
      return host.isPrimary() ? Suitability.PRIMARY_FALLBACK : Suitability.UNSUITABLE;
    }
    long lagNanos = pending.requiredPosition() - host.replication.position();
    if (lagNanos <= 0) {
      return Suitability.FRESH;
    }
    long catchUpNanos = Math.min(MAX_CATCH_UP_NANOS, lagNanos / CATCH_UP_DIVISOR);
    boolean refused =
        host.replication.readRefusedAt() > now - Math.max(MIN_CATCH_UP_NANOS, catchUpNanos);
    if (servesStale || refused || needsPrimary) {
      return Suitability.UNSUITABLE;
    }
    boolean isLikely = lagNanos <= now - host.replication.positionHeardAt();
    return isLikely ? Suitability.LIKELY_FRESH : Suitability.LAGGING;
  }

  /** An eventually consistent read expected to take longer than other reads may be stale. */
  private boolean isLongRead(PendingRequest pending) {
    return pending.requires(Consistency.EVENTUAL)
        && serviceTimes.expected(pending) > freshness.minStalenessBoundNanos();
  }

  /**
   * Long reads may keep a replica from applying its log. All routers send them to the same few, the
   * first in order of id, so that the others stay fresh; after a wait they may go to the primary,
   * which applies no log. The cost: those few replicas do little else.
   */
  private boolean takesLongReads(HostState host, long now) {
    List<HostState> usable =
        host.group().replicas().stream().filter(each -> outliers.isUsable(each, now)).toList();
    int count = Math.max(1, usable.size() / LONG_READ_DIVISOR);
    return usable.stream().limit(count).anyMatch(each -> each == host);
  }
}
