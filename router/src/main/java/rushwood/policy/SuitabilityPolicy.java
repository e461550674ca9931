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
 *   <li>it is a replica that has applied the required position: {@link Suitability#FRESH};
 *   <li>it would answer with stale data, refused a read lately, or the read is strongly consistent:
 *       {@link Suitability#UNSUITABLE};
 *   <li>it has applied the required position by now if its lag has not grown: {@link
 *       Suitability#LIKELY_FRESH};
 *   <li>otherwise {@link Suitability#LAGGING}.
 * </ol>
 */
final class SuitabilityPolicy {
  /** A lagging replica is taken to apply its log at this multiple of real time. */
  private static final int CATCH_UP_SPEED = 2;

  /** The least and the longest time that a replica gets no read that it would refuse again. */
  private static final long MIN_CATCH_UP_NANOS = DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  private static final long MAX_CATCH_UP_NANOS = 20 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  private final boolean servesStaleData;
  private final OutlierDetector outliers;
  private final LongReadPolicy longReads;

  SuitabilityPolicy(RoutingSettings settings, OutlierDetector outliers, LongReadPolicy longReads) {
    servesStaleData = settings.laggingReadBehavior() == LaggingReadBehavior.SERVES;
    this.outliers = outliers;
    this.longReads = longReads;
  }

  /** How well the host suits the read now. */
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
    // Also true of a host that was never heard of: nothing speaks against it.
    boolean isLikely = lagNanos <= now - host.replication.positionReportedAt();
    return isLikely ? Suitability.LIKELY_FRESH : Suitability.LAGGING;
  }

  private Suitability rateForLongRead(HostState host, long now) {
    if (longReads.takesLongReads(host, now)) {
      return Suitability.FRESH;
    }
    return host.isPrimary() ? Suitability.PRIMARY_FALLBACK : Suitability.UNSUITABLE;
  }

  /** Whether the host refused a read so lately that it cannot have caught up since. */
  private static boolean hasRecentlyRefused(HostState host, long lagNanos, long now) {
    long catchUpNanos = Math.min(MAX_CATCH_UP_NANOS, lagNanos / CATCH_UP_SPEED);
    return host.replication.readRefusedAt() > now - Math.max(MIN_CATCH_UP_NANOS, catchUpNanos);
  }

  /** The suitability of the best member of the request's group. */
  Suitability best(PendingRequest pending, long now) {
    Suitability best = Suitability.UNSUITABLE;
    for (HostState host : pending.group.members()) {
      best = best.betterOf(rate(pending, host, now));
    }
    return best;
  }

  /** Whether a host is good enough, given the best of its group: reads wait only for fresh ones. */
  static boolean isAcceptable(Suitability suitability, Suitability best) {
    return switch (best) {
      case FRESH -> suitability.isAtLeast(Suitability.LIKELY_FRESH);
      case LIKELY_FRESH, LAGGING -> suitability.isAtLeast(Suitability.LAGGING);
      case PRIMARY_FALLBACK -> suitability.isAtLeast(Suitability.PRIMARY_FALLBACK);
      case UNSUITABLE -> false;
    };
  }
}
