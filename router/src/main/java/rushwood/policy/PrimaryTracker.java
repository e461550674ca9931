package rushwood.policy;

import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;

/** Decides which member of a group counts as its primary, and where a write goes. */
final class PrimaryTracker {
  /** How long evidence of a role counts while no primary is known. */
  private static final long ROLE_TTL_NANOS = 3 * DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  /** A host that refused a write is handing over; it is not taken for the primary for this long. */
  private static final long HANDOVER_NANOS = DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  private static final int DISCOVERY_DIVISOR = 2; // half of all attempts may look for the primary

  private final PolicyActions actions;
  private final int maxDiscoveryAttempts;
  private final OutlierDetector outliers;
  private final ConcurrencyLimiter limiter;
  private final HealthCheckPolicy healthChecks;

  PrimaryTracker(
      PolicyActions actions,
      int maxAttempts,
      OutlierDetector outliers,
      ConcurrencyLimiter limiter,
      HealthCheckPolicy healthChecks) {
    this.actions = actions;
    maxDiscoveryAttempts = maxAttempts / DISCOVERY_DIVISOR;
    this.outliers = outliers;
    this.limiter = limiter;
    this.healthChecks = healthChecks;
  }

  /** The endpoint list is seconds old: it only fills in where nothing better is known. */
  void endpointListed(HostState host) {
    boolean isUnknown = !host.group().hasPrimary() && !host.replication.isRoleKnown();
    if (host.endpoint().primary() && isUnknown) {
      host.group().setPrimary(host);
    }
  }

  void attemptFinished(Attempt attempt, AttemptResult result, long now) {
    HostState host = attempt.host;
    roleObserved(host, result.role(), now);
    reportReceived(host, result.report(), now);
    if (result.outcome() == AttemptOutcome.REPLICA_LAGGING && attempt.pending.isWrite()) {
      host.replication.writeRefused(now);
      roleObserved(host, HostRole.REPLICA, now);
    }
  }

  /**
   * Records a host's report. A primary's position is the present, so it is the time of the report:
   * a delayed one cannot restore a primary that a later answer has replaced.
   */
  void reportReceived(HostState host, LoadReport report, long now) {
    long position = (long) report.position();
    if (report.hasPosition() && position <= now) {
      host.replication.recordPosition(position, now);
      if (position > host.replication.roleKnownAt()) {
        roleObserved(host, report.role(), position);
      }
    }
  }

  /** The latest evidence wins; an unresponsive host is no primary until it has answered a read. */
  private void roleObserved(HostState host, HostRole role, long evidenceAt) {
    boolean isHandingOver = evidenceAt < host.replication.writeRefusedAt() + HANDOVER_NANOS;
    boolean isDoubtful = isHandingOver || host.health.isUnresponsive();
    if (!host.hasGroup() || !role.isKnown() || (role == HostRole.PRIMARY && isDoubtful)) {
      return;
    }
    host.replication.recordRoleEvidence(evidenceAt);
    GroupState group = host.group();
    boolean isLatest =
        !group.hasPrimary() || evidenceAt > group.primary().replication.roleKnownAt();
    if (role == HostRole.REPLICA) {
      group.clearPrimary(host);
    } else if (!group.isPrimary(host) && isLatest) {
      String change = "primary of group " + host.endpoint().group() + " is now host " + host.id;
      actions.log(LogLevel.INFO, change);
      group.setPrimary(host);
    }
  }

  /**
   * Returns the host for a write, or null if it has to wait: the primary if it has a free slot. If
   * none is known, one write at a time goes to a member of unknown role, the first in order of id.
   */
  HostState selectForWrite(PendingRequest pending, long now) {
    GroupState group = pending.group;
    if (group.hasPrimary() && outliers.isUsable(group.primary(), now)) {
      return limiter.hasFreeSlot(pending, group.primary(), now) ? group.primary() : null;
    }
    if (group.isDiscoveringPrimary()
        || pending.attemptCount() >= Math.min(group.members().size(), maxDiscoveryAttempts)) {
      return null;
    }
    for (HostState host : group.members()) {
      boolean isUnknown =
          !host.isPrimary() && host.replication.roleKnownAt() < now - ROLE_TTL_NANOS;
      if (isUnknown && !pending.avoids(host) && isFree(pending, host, now)) {
        group.startPrimaryDiscovery(pending);
        return host;
      }
    }
    return null;
  }

  /** Whether a waiting write may go to that host. */
  boolean acceptsWrite(PendingRequest pending, HostState host, long now) {
    return host.isPrimary() && isFree(pending, host, now);
  }

  private boolean isFree(PendingRequest pending, HostState host, long now) {
    return outliers.isUsable(host, now) && limiter.hasFreeSlot(pending, host, now);
  }

  /** Asks a member for its role while requests wait and no primary is known. */
  void checkHealthIfPrimaryUnknown(HostState host) {
    if (host.group().needsPrimary() && !host.health.isUnreachable()) {
      healthChecks.checkHealth(host);
    }
  }
}
