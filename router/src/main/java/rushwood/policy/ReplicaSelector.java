package rushwood.policy;

import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the host for a read. The first case that applies:
 *
 * <ol>
 *   <li>of three or more replicas two are drawn by weight, and both are (likely to be) fresh and
 *       free: the better of the two, by the power of two choices;
 *   <li>members of the group are acceptable and free ({@link SuitabilityPolicy#isAcceptable}): the
 *       best of them;
 *   <li>otherwise the read waits.
 * </ol>
 *
 * <p>Better is what suits the read better ({@link SuitabilityPolicy}) or, of equally suited hosts,
 * what has fewer attempts in flight for its weight. A long read does not compare loads: it goes to
 * the first acceptable and free member in order of id.
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

  /** The host for a read now, or why it waits. */
  Decision select(PendingRequest pending, long now) {
    HostState drawn = longReads.isLong(pending) ? null : selectBestOfTwo(pending, now);
    return drawn != null ? drawn.sendDecision : selectBestOfAll(pending, now);
  }

  /** The better of two replicas drawn by weight, if both are (likely to be) fresh and free. */
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

  /** Draws a host with a probability in proportion to its weight, and removes it from the list. */
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

  /** The best acceptable and free member; of equal ones the first from a random place on. */
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
   * Whether a waiting read may go to that host.
   *
   * @param canFallBack whether any host that can answer is good enough by now, the primary too
   */
  boolean accepts(PendingRequest pending, HostState host, boolean canFallBack, long now) {
    Suitability best = canFallBack ? Suitability.PRIMARY_FALLBACK : suitability.best(pending, now);
    return isAcceptableAndFree(pending, host, best, now);
  }
}
