package rushwood.policy;

import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;

/**
 * Decides which member of a group counts as its primary, according to the latest evidence of each
 * host's role: what the host claims in an answer or in a load report, or that it refuses a write.
 */
final class PrimaryTracker {
  /**
   * How long a host that refused a write does not become the primary, whatever it claims: it is
   * handing over.
   */
  private static final long HANDOVER_NANOS = DefaultRoutingPolicy.CHECK_INTERVAL_NANOS;

  private final PolicyActions actions;
  private final HealthCheckPolicy healthChecks;

  PrimaryTracker(PolicyActions actions, HealthCheckPolicy healthChecks) {
    this.actions = actions;
    this.healthChecks = healthChecks;
  }

  /**
   * Uses the role from the endpoint list only if nothing better is known, because the list may be
   * seconds old.
   */
  void endpointListed(HostState host) {
    boolean isUnknown = !host.group().hasPrimary() && !host.replication.isRoleKnown();
    if (host.endpoint().primary() && isUnknown) {
      host.group().setPrimary(host);
    }
  }

  /**
   * Records the evidence of the host's role in a result. A host that refused a write is a replica.
   */
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
   * Records a load report. The position of a primary is the time at which it made the report, so a
   * delayed report cannot restore a primary that a later answer has replaced.
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
    boolean isClaimRefuted = role == HostRole.PRIMARY && !canBePrimary(host, evidenceAt);
    if (!host.hasGroup() || !role.isKnown() || isClaimRefuted) {
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

  /**
   * Returns whether a claim to be the primary is credible. An unresponsive host is no primary until
   * it has answered an attempt, nor is a host that is handing over.
   */
  private static boolean canBePrimary(HostState host, long evidenceAt) {
    boolean isHandingOver = evidenceAt < host.replication.writeRefusedAt() + HANDOVER_NANOS;
    return !isHandingOver && !host.health.isUnresponsive();
  }

  private static boolean isLatest(GroupState group, long evidenceAt) {
    HostState primary = group.primary();
    return primary == null || evidenceAt > primary.replication.roleKnownAt();
  }

  /** Sends a health check to learn the role of a host, if requests wait and no primary is known. */
  void checkHealthIfPrimaryUnknown(HostState host) {
    if (host.group().needsPrimary() && !host.health.isUnreachable()) {
      healthChecks.checkHealth(host);
    }
  }
}
