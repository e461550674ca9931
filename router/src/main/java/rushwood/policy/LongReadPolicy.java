package rushwood.policy;

import java.util.List;
import rushwood.api.RequestClass.Consistency;

/**
 * Decides which reads are long, and which replicas take them. Long reads may keep a replica from
 * applying its log. All routers send them to the same few replicas, the first in order of id, so
 * that the others stay fresh. After a wait they may go to the primary, which applies no log.
 */
final class LongReadPolicy {
  /** One replica in this many takes long reads, and one at the least. */
  private static final int LONG_READ_DIVISOR = 3;

  private final ServiceTimes serviceTimes;
  private final FreshnessPolicy freshness;
  private final OutlierDetector outliers;

  LongReadPolicy(ServiceTimes serviceTimes, FreshnessPolicy freshness, OutlierDetector outliers) {
    this.serviceTimes = serviceTimes;
    this.freshness = freshness;
    this.outliers = outliers;
  }

  /** Whether the read may be stale and is expected to take longer than other reads may be stale. */
  boolean isLong(PendingRequest pending) {
    return pending.requires(Consistency.EVENTUAL)
        && serviceTimes.expectedNanos(pending) > freshness.minStalenessBoundNanos();
  }

  /** Whether the host is among the usable replicas of its group that take long reads. */
  boolean takesLongReads(HostState host, long now) {
    List<HostState> usable = host.group().replicas();
    usable.removeIf(replica -> !outliers.isUsable(replica, now));
    int count = Math.max(1, usable.size() / LONG_READ_DIVISOR);
    int index = usable.indexOf(host);
    return index >= 0 && index < count;
  }
}
