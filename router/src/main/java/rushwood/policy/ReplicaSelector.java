package rushwood.policy;

import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the host for a read. The first case that applies:
 *
 * <ol>
 *   <li>the group has at least three replicas, and two of them drawn at random by weight are both
 *       fresh or likely fresh and have a free slot: the better of the two (power of two choices);
 *   <li>members of the group are acceptable ({@link SuitabilityPolicy#isAcceptable}) and have a
 *       free slot: the best of them;
 *   <li>otherwise the read waits.
 * </ol>
 *
 * <p>The better host is the one that suits the read better ({@link SuitabilityPolicy}) or, among
 * equally suitable hosts, the one with fewer attempts in flight per weight. For a long read, hosts
 * are not compared: it goes to the first acceptable member with a free slot in order of id.
 */
final class ReplicaSelector {
  private final RandomGenerator random;
  private final FreshnessPolicy freshness;
  private final SuitabilityPolicy suitability;
  private final LongReadPolicy longReads;
  private final ConcurrencyLimiter limiter;
  private final HealthCheckPolicy healthChecks;

  ReplicaSelector(
      RandomGenerator random,
      FreshnessPolicy freshness,
      SuitabilityPolicy suitability,
      LongReadPolicy longReads,
      ConcurrencyLimiter limiter,
      HealthCheckPolicy healthChecks) {
    this.random = random;
    this.freshness = freshness;
    this.suitability = suitability;
    this.longReads = longReads;
    this.limiter = limiter;
    this.healthChecks = healthChecks;
  }

  /** Returns the host for a read, or why it waits. */
  Decision select(PendingRequest pending, long now) {
    HostState drawn = longReads.isLong(pending) ? null : selectBestOfTwo(pending, now);
    return drawn != null ? drawn.sendDecision : selectBestOfAll(pending, now);
  }

  /**
   * Returns the better of two replicas drawn by weight, or null unless both are at least likely
   * fresh and have a free slot.
   */
  private @Nullable HostState selectBestOfTwo(PendingRequest pending, long now) {
    List<HostState> replicas = pending.group.replicas();
    if (replicas.size() <= 2) {
      return null;
    }
    HostState first = drawByWeight(replicas, random);
    HostState second = drawByWeight(replicas, random);
    if (!isLikelyFresh(pending, first, now)
        || !isLikelyFresh(pending, second, now)
        || !limiter.hasFreeSlot(pending, first, now)
        || !limiter.hasFreeSlot(pending, second, now)) {
      return null;
    }
    return isBetter(pending, second, first, now) ? second : first;
  }

  /** Removes and returns a host, drawn with a probability proportional to its weight. */
  static HostState drawByWeight(List<HostState> candidates, RandomGenerator random) {
    double remainingWeight = 0;
    for (HostState host : candidates) {
      remainingWeight += host.endpoint().weight();
    }
    remainingWeight *= random.nextDouble();
    int index = 0;
    while (index < candidates.size() - 1
        && remainingWeight >= candidates.get(index).endpoint().weight()) {
      remainingWeight -= candidates.get(index).endpoint().weight();
      index++;
    }
    return candidates.remove(index);
  }

  private boolean isLikelyFresh(PendingRequest pending, HostState host, long now) {
    return suitability.rate(pending, host, now).isAtLeast(Suitability.LIKELY_FRESH);
  }

  /**
   * Chooses an acceptable member with a free slot: for a long read, the first one in order of id;
   * otherwise the best one, and among equally good ones the first after a random start. If no
   * member is fresh, also sends a health check to a replica whose last report is old.
   */
  private Decision selectBestOfAll(PendingRequest pending, long now) {
    Suitability best = suitability.best(pending, now);
    if (best != Suitability.FRESH) {
      healthChecks.checkReplicaWithOldestReport(
          pending.group, freshness.minStalenessBoundNanos(), now);
    }
    boolean isLong = longReads.isLong(pending);
    List<HostState> members = pending.group.members();
    int start = isLong || members.isEmpty() ? 0 : random.nextInt(members.size());
    HostState selected = null;
    for (int i = 0; i < members.size(); i++) {
      HostState host = members.get((start + i) % members.size());
      if (isAcceptableAndFree(pending, host, best, now)
          && (selected == null || (!isLong && isBetter(pending, host, selected, now)))) {
        selected = host;
      }
    }
    if (selected != null) {
      return selected.sendDecision;
    }
    return best == Suitability.UNSUITABLE
        ? Decision.Wait.NO_SUITABLE_HOST
        : Decision.Wait.NO_FREE_SLOT;
  }

  private boolean isAcceptableAndFree(
      PendingRequest pending, HostState host, Suitability best, long now) {
    return SuitabilityPolicy.isAcceptable(suitability.rate(pending, host, now), best)
        && limiter.hasFreeSlot(pending, host, now);
  }

  private boolean isBetter(PendingRequest pending, HostState host, HostState current, long now) {
    int difference =
        suitability.rate(pending, host, now).compareTo(suitability.rate(pending, current, now));
    return difference < 0 || (difference == 0 && host.load() < current.load());
  }

  /**
   * Returns whether a waiting read may go to the host.
   *
   * @param canFallBack whether any host that can answer is acceptable by now, including the primary
   */
  boolean accepts(PendingRequest pending, HostState host, boolean canFallBack, long now) {
    Suitability best = canFallBack ? Suitability.PRIMARY_FALLBACK : suitability.best(pending, now);
    return isAcceptableAndFree(pending, host, best, now);
  }
}
