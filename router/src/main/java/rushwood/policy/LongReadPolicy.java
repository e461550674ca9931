package rushwood.policy;

import java.util.List;
import rushwood.api.RequestClass.Consistency;

/**
 * Decides which reads are long, and which replicas serve them. Long reads may keep a replica from
 * applying its log, so all routers send them to the same few replicas, the first in order of id,
 * and the others stay fresh. After a wait, long reads may also go to the primary, which applies no
 * log.
 */
final class LongReadPolicy {
  /** One usable replica in this many takes long reads, but at least one replica does. */
  private static final int LONG_READ_DIVISOR = 3;

  private final ServiceTimes serviceTimes;
  private final FreshnessPolicy freshness;
  private final OutlierDetector outliers;

  LongReadPolicy(ServiceTimes serviceTimes, FreshnessPolicy freshness, OutlierDetector outliers) {
    this.serviceTimes = serviceTimes;
    this.freshness = freshness;
    this.outliers = outliers;
  }

  /**
   * Returns whether the read accepts data of any age and is expected to take longer than the
   * smallest staleness bound of all request classes.
   */
  boolean isLong(PendingRequest pending) {
    return pending.requires(Consistency.EVENTUAL)
        && serviceTimes.expectedNanos(pending) > freshness.minStalenessBoundNanos();
  }

  /** Returns whether the host is one of the usable replicas of its group that take long reads. */
  boolean takesLongReads(HostState host, long now) {
    List<HostState> usable = host.group().replicas();
    usable.removeIf(replica -> !outliers.isUsable(replica, now));
    int count = Math.max(1, usable.size() / LONG_READ_DIVISOR);
    int index = usable.indexOf(host);
    return index >= 0 && index < count;
  }
}
