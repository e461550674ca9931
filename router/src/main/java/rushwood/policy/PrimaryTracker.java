package rushwood.policy;

import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;

/**
 * Decides which member of a group counts as its primary. The latest evidence of a host's role
 * decides: what it claims with an answer or in a report, or that it refuses a write.
 */
final class PrimaryTracker {
  /**
   * A host that refused a write is handing over: for this long it does not become the primary,
   * whatever it claims.
   */
  private static final long HANDOVER_NANOS = DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  private final PolicyActions actions;
  private final HealthCheckPolicy healthChecks;

  PrimaryTracker(PolicyActions actions, HealthCheckPolicy healthChecks) {
    this.actions = actions;
    this.healthChecks = healthChecks;
  }

  /** The endpoint list is seconds old: it only fills in where nothing better is known. */
  void endpointListed(HostState host) {
    boolean isUnknown = !host.group().hasPrimary() && !host.replication.isRoleKnown();
    if (host.endpoint().primary() && isUnknown) {
      host.group().setPrimary(host);
    }
  }

  /** Takes in what a result says of its host's role; a refused write shows that it is a replica. */
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

  private void roleObserved(HostState host, HostRole role, long evidenceAt) {
    boolean isRefutedPrimary = role == HostRole.PRIMARY && !canBePrimary(host, evidenceAt);
    if (!host.hasGroup() || !role.isKnown() || isRefutedPrimary) {
      return;
    }
    host.replication.recordRoleEvidence(evidenceAt);
    GroupState group = host.group();
    if (role == HostRole.REPLICA) {
      group.clearPrimary(host);
    } else if (!group.isPrimary(host) && isLatest(group, evidenceAt)) {
      actions.log(
          LogLevel.INFO, "primary of group " + host.endpoint().group() + " is now host " + host.id);
      group.setPrimary(host);
    }
  }

  /** An unresponsive host is no primary until it has answered a read, nor is one handing over. */
  private static boolean canBePrimary(HostState host, long evidenceAt) {
    boolean isHandingOver = evidenceAt < host.replication.writeRefusedAt() + HANDOVER_NANOS;
    return !isHandingOver && !host.health.isUnresponsive();
  }

  private static boolean isLatest(GroupState group, long evidenceAt) {
    HostState primary = group.primary();
    return primary == null || evidenceAt > primary.replication.roleKnownAt();
  }

  /** Asks a member for its role while requests wait and no primary is known. */
  void checkHealthIfPrimaryUnknown(HostState host) {
    if (host.group().needsPrimary() && !host.health.isUnreachable()) {
      healthChecks.checkHealth(host);
    }
  }
}
