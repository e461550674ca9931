package rushwood.policy;

/**
 * What a router has heard of a host's replication: its position and its role. Times are clock times
 * in nanoseconds, {@link HostState#NEVER} where nothing has been heard yet.
 */
final class ReplicationState {
  /** How far the host has applied the log, as a time; it may have applied more by now. */
  long position = HostState.NEVER;

  long positionHeardAt = HostState.NEVER;

  /** When the host last refused a read because it was too far behind. */
  long readRefusedAt = HostState.NEVER;

  /** When the host last refused a write because it was not the primary. */
  long writeRefusedAt = HostState.NEVER;

  /** The time of the latest evidence of the host's role. */
  long roleKnownAt = HostState.NEVER;

  boolean isRoleKnown() {
    return roleKnownAt != HostState.NEVER;
  }

  void recordRoleEvidence(long evidenceAt) {
    roleKnownAt = Math.max(roleKnownAt, evidenceAt);
  }

  /** Takes in a reported position. Positions never go back; one in the future cannot be true. */
  void recordPosition(long reported, long now) {
    if (reported <= now) {
      position = Math.max(position, reported);
      positionHeardAt = now;
    }
  }
}
