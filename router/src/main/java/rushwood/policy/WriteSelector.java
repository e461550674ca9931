package rushwood.policy;

/**
 * Chooses the host for a write. The first case that applies:
 *
 * <ol>
 *   <li>the primary is known and usable: the write goes there, or waits until a slot is free;
 *   <li>another write is searching for the primary, or this one has used up its attempts for that:
 *       it waits;
 *   <li>usable members of unknown role have a free slot: the write goes to the first of them in
 *       order of id, to find out whether that is the primary;
 *   <li>otherwise it waits.
 * </ol>
 */
final class WriteSelector {
  /** How long evidence of a host's role counts while no primary is known. */
  private static final long ROLE_TTL_NANOS = 3 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  /**
   * One attempt in this many may be used to search for the primary; the others are left for the
   * write itself.
   */
  private static final int SEARCH_DIVISOR = 2;

  private final int maxSearchAttempts;
  private final OutlierDetector outliers;
  private final ConcurrencyLimiter limiter;

  WriteSelector(int maxAttempts, OutlierDetector outliers, ConcurrencyLimiter limiter) {
    maxSearchAttempts = maxAttempts / SEARCH_DIVISOR;
    this.outliers = outliers;
    this.limiter = limiter;
  }

  /** Returns the host for a write, or why it waits. */
  Decision select(PendingRequest pending, long now) {
    HostState primary = pending.group.primary();
    if (primary != null && outliers.isUsable(primary, now)) {
      boolean isFree = limiter.hasFreeSlot(pending, primary, now);
      return isFree ? primary.sendDecision : Decision.Wait.PRIMARY_HAS_NO_FREE_SLOT;
    }
    return canSearchForPrimary(pending)
        ? searchForPrimary(pending, now)
        : Decision.Wait.PRIMARY_UNKNOWN;
  }

  /**
   * Returns whether the write may search for the primary. One write at a time may, at each member
   * once and with a part of its attempts.
   */
  private boolean canSearchForPrimary(PendingRequest pending) {
    GroupState group = pending.group;
    return !group.isSearchingForPrimary()
        && pending.attemptCount() < Math.min(group.members().size(), maxSearchAttempts);
  }

  private Decision searchForPrimary(PendingRequest pending, long now) {
    for (HostState host : pending.group.members()) {
      if (isRoleUnknown(host, now) && !pending.avoids(host) && isFree(pending, host, now)) {
        pending.group.startPrimarySearch(pending);
        return host.sendDecision;
      }
    }
    return Decision.Wait.PRIMARY_UNKNOWN;
  }

  private static boolean isRoleUnknown(HostState host, long now) {
    return !host.isPrimary() && host.replication.roleKnownAt() < now - ROLE_TTL_NANOS;
  }

  /** Returns whether a waiting write may go to the host, which has to be the known primary. */
  boolean accepts(PendingRequest pending, HostState host, long now) {
    return host.isPrimary() && isFree(pending, host, now);
  }

  private boolean isFree(PendingRequest pending, HostState host, long now) {
    return outliers.isUsable(host, now) && limiter.hasFreeSlot(pending, host, now);
  }
}
