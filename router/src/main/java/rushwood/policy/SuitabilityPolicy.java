package rushwood.policy;

import rushwood.api.RequestClass.Consistency;
import rushwood.api.RoutingSettings;
import rushwood.api.RoutingSettings.LaggingReadBehavior;

/**
 * Decides how well a host suits a read. The first case that applies:
 *
 * <ol>
 *   <li>the host is not usable, or the request avoids it: {@link Suitability#UNSUITABLE};
 *   <li>the read is long: {@link Suitability#FRESH} for the replicas that take long reads, {@link
 *       Suitability#PRIMARY_FALLBACK} for the primary, else {@link Suitability#UNSUITABLE};
 *   <li>the host is the primary: {@link Suitability#FRESH} for a strongly consistent read, else
 *       {@link Suitability#PRIMARY_FALLBACK};
 *   <li>the host is a replica that has applied the required position: {@link Suitability#FRESH};
 *   <li>the host would answer with stale data or has recently refused a read, or the read is
 *       strongly consistent: {@link Suitability#UNSUITABLE};
 *   <li>the host has applied the required position by now if its lag has not grown: {@link
 *       Suitability#LIKELY_FRESH};
 *   <li>otherwise {@link Suitability#LAGGING}.
 * </ol>
 */
final class SuitabilityPolicy {
  /**
   * The speed at which a lagging replica is assumed to apply its log, as a multiple of real time.
   */
  private static final int CATCH_UP_SPEED = 2;

  /**
   * The shortest time for which a replica that refused a read gets no reads that it would refuse
   * again.
   */
  private static final long MIN_CATCH_UP_NANOS = DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  /** The longest time that a replica is assumed to need to catch up after it refused a read. */
  private static final long MAX_CATCH_UP_NANOS = 20 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  private final boolean servesStaleData;
  private final OutlierDetector outliers;
  private final LongReadPolicy longReads;

  SuitabilityPolicy(RoutingSettings settings, OutlierDetector outliers, LongReadPolicy longReads) {
    servesStaleData = settings.laggingReadBehavior() == LaggingReadBehavior.SERVES;
    this.outliers = outliers;
    this.longReads = longReads;
  }

  /** Returns how well the host suits the read now. */
  Suitability rate(PendingRequest pending, HostState host, long now) {
    if (!outliers.isUsable(host, now) || pending.avoids(host)) {
      return Suitability.UNSUITABLE;
    }
    if (longReads.isLong(pending)) {
      return rateForLongRead(host, now);
    }
    boolean needsPrimary = pending.requires(Consistency.STRONG);
    if (host.isPrimary()) {
      return needsPrimary ? Suitability.FRESH : Suitability.PRIMARY_FALLBACK;
    }
    long lagNanos = pending.requiredPosition() - host.replication.position();
    if (lagNanos <= 0) {
      return Suitability.FRESH;
    }
    if (servesStaleData || needsPrimary || hasRecentlyRefused(host, lagNanos, now)) {
      return Suitability.UNSUITABLE;
    }
    // Also true of a host that has reported no position: nothing suggests that it lags.
    boolean isLikely = lagNanos <= now - host.replication.positionReportedAt();
    return isLikely ? Suitability.LIKELY_FRESH : Suitability.LAGGING;
  }

  private Suitability rateForLongRead(HostState host, long now) {
    if (longReads.takesLongReads(host, now)) {
      return Suitability.FRESH;
    }
    return host.isPrimary() ? Suitability.PRIMARY_FALLBACK : Suitability.UNSUITABLE;
  }

  /** Returns whether the host refused a read so recently that it cannot have caught up since. */
  private static boolean hasRecentlyRefused(HostState host, long lagNanos, long now) {
    long catchUpNanos = Math.min(MAX_CATCH_UP_NANOS, lagNanos / CATCH_UP_SPEED);
    return host.replication.readRefusedAt() > now - Math.max(MIN_CATCH_UP_NANOS, catchUpNanos);
  }

  /** Returns the suitability of the most suitable member of the request's group. */
  Suitability best(PendingRequest pending, long now) {
    Suitability best = Suitability.UNSUITABLE;
    for (HostState host : pending.group.members()) {
      best = best.betterOf(rate(pending, host, now));
    }
    return best;
  }

  /**
   * Returns whether a host is good enough for a read, given the best suitability in its group.
   * While a host is fresh, reads wait for a free slot rather than go to a lagging replica; while
   * any replica may answer, they wait rather than go to the primary.
   */
  static boolean isAcceptable(Suitability suitability, Suitability best) {
    return switch (best) {
      case FRESH -> suitability.isAtLeast(Suitability.LIKELY_FRESH);
      case LIKELY_FRESH, LAGGING -> suitability.isAtLeast(Suitability.LAGGING);
      case PRIMARY_FALLBACK -> suitability.isAtLeast(Suitability.PRIMARY_FALLBACK);
      case UNSUITABLE -> false;
    };
  }
}
